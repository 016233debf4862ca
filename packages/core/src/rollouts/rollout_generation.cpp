#include "rollout_context.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace geraniumpulley::core {
namespace {

// Maximum number of finished but uncommitted samples over all steps. Generation stops at this
// number, which bounds memory while the store is unavailable.
constexpr std::size_t maxUncommittedSamples = 32'768;

// Finds the slot of an event; null when the event belongs to another attempt or phase.
SlotState *findSlot(RolloutContext &context, const SampleSlot &slot, std::uint32_t attempt,
                    SlotPhase phase)
{
    const auto step = context.state.steps.find(slot.step);
    if (step == context.state.steps.end())
        return nullptr;
    const auto position = step->second.slots.find(slot);
    if (position == step->second.slots.end() || position->second.phase != phase
        || position->second.attempt != attempt)
        return nullptr;
    return &position->second;
}

// Updates the target's load for the end of a request, even when its step no longer needs it.
void closeRequest(RolloutContext &context, const InFlightRequest &request, bool succeeded)
{
    const auto entry = context.state.inFlightRequests.extract(request);
    if (entry.empty())
        return;
    EngineLoad &load = context.state.engineLoads[entry.mapped()];
    --load.inFlight;
    if (succeeded)
        load.consecutiveFailures = 0;
    else
        recordFailure(load, context.now);
}

// Chooses a target and counts the request that is about to be sent to it.
const Target *reserveTarget(RolloutContext &context, const PlacementQuery &query)
{
    RolloutState &state = context.state;
    const Target *target = chooseTarget(query, *state.configuration, *state.view,
                                        state.engines.get(), state.engineLoads, context.now);
    if (target != nullptr)
        ++state.engineLoads[target->id].inFlight;
    return target;
}

// Returns the highest version of the trainer known to this node, from the trainer's requests or the
// reports of its engines.
WeightVersion newestVersion(const RolloutContext &context, const StepState &step)
{
    WeightVersion newest = step.trainerVersion;
    if (!context.state.engines || !context.state.view)
        return newest;
    const Trainer *trainer = findTrainer(context, step.spec.id.trainer);
    for (const Target &target : context.state.view->targets) {
        const EngineReport *report = findReport(*context.state.engines, target.id);
        if (report != nullptr && trainer != nullptr && target.service == trainer->model)
            newest = std::max(newest, report->version);
    }
    return newest;
}

PlacementQuery makeQuery(const RolloutContext &context, const StepState &step,
                         const SampleSlot &slot, const ServiceName &model)
{
    const std::uint64_t newest = number(newestVersion(context, step));
    const std::uint64_t bound = stalenessBoundOf(context, step);
    PlacementQuery query{model, {}, WeightVersion{newest > bound ? newest - bound : 0}};
    const SampleSlot sibling{slot.step, slot.group, slot.index == 0 ? 0 : slot.index - 1};
    query.preferred = step.slots.at(sibling).target;
    return query;
}

bool startSample(RolloutContext &context, StepState &step)
{
    const Trainer *trainer = findTrainer(context, step.spec.id.trainer);
    const SampleSlot *next = nextSlot(step);
    if (trainer == nullptr || next == nullptr)
        return false;
    const SampleSlot slot = *next;
    const Target *target = reserveTarget(context, makeQuery(context, step, slot, trainer->model));
    if (target == nullptr)
        return false;
    SlotState &state = step.slots.at(slot);
    ++step.groups[slot.group].started;
    setPhase(step, slot, SlotPhase::Generating, context.now);
    ++state.attempt;
    state.target = target->id;
    context.state.inFlightRequests.emplace(InFlightRequest{slot, state.attempt, false}, target->id);
    context.actions.push_back(Generate{slot, *target, step.spec.prompts[slot.group],
                                       step.spec.maxTokens, state.attempt, state.sample.text,
                                       state.tokens});
    return true;
}

bool startScore(RolloutContext &context, StepState &step)
{
    const Trainer *trainer = findTrainer(context, step.spec.id.trainer);
    if (trainer == nullptr || step.unscored.empty())
        return false;
    const Target *target = reserveTarget(context, {trainer->scorer, {}, {}});
    if (target == nullptr)
        return false;
    const SampleSlot slot = *step.unscored.begin();
    SlotState &state = step.slots.at(slot);
    setPhase(step, slot, SlotPhase::Scoring, context.now);
    context.state.inFlightRequests.emplace(InFlightRequest{slot, state.attempt, true}, target->id);
    context.actions.push_back(
            Score{slot, *target, step.spec.prompts[slot.group], state.sample.text, state.attempt});
    return true;
}

// Returns the collecting step with the lowest fair-share ratio, except the exhausted ones, or null.
StepState *findLeastServedStep(RolloutContext &context, const std::set<StepId> &exhausted)
{
    StepState *best = nullptr;
    double bestRatio = 0;
    for (auto &[id, step] : context.state.steps) {
        const Trainer *trainer = findTrainer(context, id.trainer);
        if (trainer == nullptr || step.waiting.empty() || step.phase != StepPhase::Collecting
            || exhausted.count(id) != 0)
            continue;
        const double ratio =
                fairShareRatio(step.inFlight, trainer->weight, step.slots.size() - step.finished,
                               step.dueAt - context.now);
        if (best == nullptr || ratio < bestRatio) {
            best = &step;
            bestRatio = ratio;
        }
    }
    return best;
}

bool canBufferSamples(const RolloutContext &context)
{
    std::size_t uncommitted = 0;
    for (const auto &[id, step] : context.state.steps)
        uncommitted += step.uncommitted.size();
    return uncommitted < maxUncommittedSamples;
}

void clearSample(SlotState &state)
{
    state.sample = Sample{};
    state.tokens = 0;
}

} // namespace

void startRequests(RolloutContext &context)
{
    if (!isReady(context))
        return;
    std::set<StepId> exhausted;
    while (canBufferSamples(context)) {
        StepState *step = findLeastServedStep(context, exhausted);
        if (step == nullptr)
            break;
        if (!startSample(context, *step))
            exhausted.insert(step->spec.id);
    }
    for (auto &[id, step] : context.state.steps) {
        while (startScore(context, step)) { }
    }
}

void onProgressed(RolloutContext &context, const SampleProgressed &event)
{
    SlotState *state = findSlot(context, event.slot, event.attempt, SlotPhase::Generating);
    if (state == nullptr)
        return;
    state->sample.text += event.text;
    for (VersionSpan span : event.spans) {
        const std::uint64_t length = span.last - span.first;
        span.first = state->tokens;
        state->tokens += length;
        span.last = state->tokens;
        appendSpan(state->sample.spans, std::move(span));
    }
}

void onGenerated(RolloutContext &context, const SampleGenerated &event)
{
    SlotState *state = findSlot(context, event.slot, event.attempt, SlotPhase::Generating);
    const bool hasAllTokens = state == nullptr || state->tokens == event.tokens;
    closeRequest(context, {event.slot, event.attempt, false}, hasAllTokens);
    if (state != nullptr) {
        StepState &step = context.state.steps.at(event.slot.step);
        // A different token count means that tokens are missing, so the version labels would be
        // wrong; the sample is regenerated.
        if (!hasAllTokens) {
            clearSample(*state);
        } else {
            GroupLengths &lengths = step.groups[event.slot.group];
            ++lengths.finished;
            lengths.finishedTokens += state->tokens;
        }
        setPhase(step, event.slot, hasAllTokens ? SlotPhase::Unscored : SlotPhase::Waiting,
                 context.now);
    }
    startRequests(context);
}

void onGenerationFailed(RolloutContext &context, const GenerationFailed &event)
{
    SlotState *state = findSlot(context, event.slot, event.attempt, SlotPhase::Generating);
    closeRequest(context, {event.slot, event.attempt, false}, state == nullptr);
    if (state == nullptr)
        return;
    StepState &step = context.state.steps.at(event.slot.step);
    const bool isSampleStale =
            isStale(state->sample, newestVersion(context, step), stalenessBoundOf(context, step));
    if (isSampleStale) {
        clearSample(*state);
        ++step.discarded;
    }
    setPhase(step, event.slot, SlotPhase::Waiting, context.now);
    startRequests(context);
}

void onScored(RolloutContext &context, const SampleScored &event)
{
    closeRequest(context, {event.slot, event.attempt, true}, true);
    SlotState *state = findSlot(context, event.slot, event.attempt, SlotPhase::Scoring);
    if (state != nullptr) {
        StepState &step = context.state.steps.at(event.slot.step);
        state->sample.reward = event.reward;
        setPhase(step, event.slot, SlotPhase::Finished, context.now);
        advanceLog(context, step);
    }
    startRequests(context);
}

void onScoringFailed(RolloutContext &context, const ScoringFailed &event)
{
    closeRequest(context, {event.slot, event.attempt, true}, false);
    if (findSlot(context, event.slot, event.attempt, SlotPhase::Scoring) != nullptr)
        setPhase(context.state.steps.at(event.slot.step), event.slot, SlotPhase::Unscored,
                 context.now);
    startRequests(context);
}

void cancelUnneededGenerations(RolloutContext &context, const StepId &id)
{
    const auto step = context.state.steps.find(id);
    const SampleSlot first{id, 0, 0};
    auto request = context.state.inFlightRequests.lower_bound({first, 0, false});
    for (; request != context.state.inFlightRequests.end() && request->first.slot.step == id;
         ++request) {
        const auto &[slot, attempt, isScoring] = request->first;
        const bool isCurrent =
                step != context.state.steps.end() && step->second.slots.at(slot).attempt == attempt;
        for (const Target &target : context.state.view->targets) {
            if (!isScoring && !isCurrent && target.id == request->second)
                context.actions.push_back(CancelGeneration{slot, target, attempt});
        }
    }
}

} // namespace geraniumpulley::core
