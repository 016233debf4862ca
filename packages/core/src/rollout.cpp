#include <geraniumpulley/core/rollout.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace geraniumpulley::core {
namespace {

using Actions = std::vector<RolloutAction>;

bool sameOrder(const StepOrder &a, const StepOrder &b)
{
    return a.prompts == b.prompts && a.groupSize == b.groupSize && a.maxTokens == b.maxTokens;
}

StepState makeStep(const StepOrder &order)
{
    StepState step;
    step.order = order;
    const auto groups = static_cast<std::uint32_t>(order.prompts.size());
    for (std::uint32_t group = 0; group < groups; ++group) {
        for (std::uint32_t index = 0; index < order.groupSize; ++index)
            step.slots.emplace(SampleSlot{order.id, group, index}, SlotState{});
    }
    return step;
}

std::vector<std::pair<SampleSlot, Sample>> collectSamples(const StepState &step)
{
    std::vector<std::pair<SampleSlot, Sample>> samples;
    samples.reserve(step.slots.size());
    for (const auto &[slot, state] : step.slots)
        samples.emplace_back(slot, state.sample);
    return samples;
}

StepAnswer describe(const StepState &step)
{
    StepAnswer answer;
    answer.total = step.slots.size();
    answer.finished = static_cast<std::uint64_t>(
            std::count_if(step.slots.begin(), step.slots.end(),
                          [](const auto &entry) { return entry.second.phase == SlotPhase::Done; }));
    if (step.phase == StepPhase::Acknowledged)
        answer.verdict = StepVerdict::Acknowledged;
    if (step.phase == StepPhase::Sealed) {
        answer.verdict = StepVerdict::Ready;
        answer.samples = collectSamples(step);
    }
    return answer;
}

struct Handler
{
    RolloutState &state;
    Time now;
    Actions actions;

    void operator()(const StepRequested &event)
    {
        if (!this->state.configuration || !this->state.view)
            return this->answer(event.reply, StepAnswer{StepVerdict::NotReady}, event.forwarded);
        const TrainerName &trainer = trainerOf(event.request);
        const Node *owner = ownerOf(trainer.value, this->state.view->nodes);
        if (!event.forwarded && owner != nullptr && owner->id != this->state.self) {
            const OperationId operation = this->state.nextOperation;
            this->state.nextOperation = next(operation);
            this->state.forwarded.emplace(operation, event.reply);
            this->actions.push_back(ForwardStep{operation, *owner, event.request});
            return;
        }
        const StepAnswer answer = std::visit(
                [&](const auto &request) { return this->serve(request); }, event.request);
        this->answer(event.reply, answer, event.forwarded);
    }

    void operator()(const StepPeerAnswered &event)
    {
        const auto position = this->state.forwarded.find(event.operation);
        if (position == this->state.forwarded.end())
            return;
        this->answer(position->second, event.answer, false);
        this->state.forwarded.erase(position);
    }

    void operator()(const SampleGenerated &event)
    {
        SlotState *slot = this->finishRequest(event.slot, SlotPhase::Generating);
        if (slot == nullptr)
            return;
        slot->sample.text = event.text;
        slot->sample.spans = event.spans;
        slot->phase = SlotPhase::Unscored;
        this->fill();
    }

    void operator()(const GenerationFailed &event)
    {
        SlotState *slot = this->finishRequest(event.slot, SlotPhase::Generating);
        if (slot != nullptr)
            slot->phase = SlotPhase::Waiting;
    }

    void operator()(const SampleScored &event)
    {
        SlotState *slot = this->finishRequest(event.slot, SlotPhase::Scoring);
        if (slot == nullptr)
            return;
        slot->sample.reward = event.reward;
        slot->phase = SlotPhase::Done;
        this->fill();
        this->seal(event.slot.step);
    }

    void operator()(const ScoringFailed &event)
    {
        SlotState *slot = this->finishRequest(event.slot, SlotPhase::Scoring);
        if (slot != nullptr)
            slot->phase = SlotPhase::Unscored;
    }

    void operator()(const BatchStored &event)
    {
        const auto position = this->state.steps.find(event.id);
        if (position != this->state.steps.end() && position->second.phase == StepPhase::Storing)
            position->second.phase = StepPhase::Sealed;
    }

    void operator()(const BatchStoreFailed &event)
    {
        const auto position = this->state.steps.find(event.id);
        if (position != this->state.steps.end() && position->second.phase == StepPhase::Storing)
            position->second.phase = StepPhase::Filling;
    }

    void operator()(const RolloutConfigurationChanged &event)
    {
        this->state.configuration = event.configuration;
    }

    void operator()(const RolloutViewChanged &event) { this->state.view = event.view; }

    void operator()(const RolloutLeasesChanged &event) { this->state.leases = event.leases; }

    void operator()(const RolloutEnginesChanged &event) { this->state.engines = event.engines; }

    // Failed requests and batches are tried again here, which bounds their rate.
    void operator()(const RolloutTick &)
    {
        if (!this->state.configuration || !this->state.view)
            return;
        this->fill();
        for (const auto &[id, step] : this->state.steps)
            this->seal(id);
    }

    StepAnswer serve(const OpenStep &request)
    {
        const auto &trainers = this->state.configuration->trainers;
        const bool known =
                std::any_of(trainers.begin(), trainers.end(), [&](const Trainer &trainer) {
                    return trainer.name == request.order.id.trainer;
                });
        if (!known)
            return StepAnswer{StepVerdict::UnknownTrainer};
        const auto [position, isNew] =
                this->state.steps.try_emplace(request.order.id, makeStep(request.order));
        if (!isNew && !sameOrder(position->second.order, request.order))
            return StepAnswer{StepVerdict::Differs};
        this->fill();
        return describe(position->second);
    }

    StepAnswer serve(const FetchStep &request)
    {
        const auto position = this->state.steps.find(request.id);
        if (position == this->state.steps.end())
            return StepAnswer{StepVerdict::UnknownStep};
        return describe(position->second);
    }

    StepAnswer serve(const AcknowledgeStep &request)
    {
        const auto position = this->state.steps.find(request.id);
        if (position == this->state.steps.end())
            return StepAnswer{StepVerdict::UnknownStep};
        StepState &step = position->second;
        if (step.phase == StepPhase::Sealed) {
            step.phase = StepPhase::Acknowledged;
            for (auto &[slot, slotState] : step.slots)
                slotState.sample = Sample{};
        }
        return describe(step);
    }

    void fill()
    {
        for (auto &[id, step] : this->state.steps) {
            const Trainer *trainer = this->findTrainer(id.trainer);
            if (trainer == nullptr || step.phase != StepPhase::Filling)
                continue;
            for (auto &[slot, slotState] : step.slots)
                this->advance(step, slot, slotState, *trainer);
        }
    }

    void advance(const StepState &step, const SampleSlot &slot, SlotState &slotState,
                 const Trainer &trainer)
    {
        const std::string &prompt = step.order.prompts[slot.group];
        if (slotState.phase == SlotPhase::Waiting) {
            const Target *target = this->takeTarget(trainer.model);
            if (target == nullptr)
                return;
            slotState.phase = SlotPhase::Generating;
            slotState.target = target->id;
            this->actions.push_back(Generate{slot, *target, prompt, step.order.maxTokens});
        } else if (slotState.phase == SlotPhase::Unscored) {
            const Target *target = this->takeTarget(trainer.scorer);
            if (target == nullptr)
                return;
            slotState.phase = SlotPhase::Scoring;
            slotState.target = target->id;
            this->actions.push_back(Score{slot, *target, prompt, slotState.sample.text});
        }
    }

    // Counts a request at the least loaded target of the service, if one has room.
    const Target *takeTarget(const ServiceName &name)
    {
        const Service *service = findService(*this->state.configuration, name);
        if (service == nullptr)
            return nullptr;
        const Target *best = nullptr;
        std::uint32_t bestLoad = service->maxInFlight;
        for (const Target &target : this->state.view->targets) {
            if (target.service != name || target.leaving)
                continue;
            const std::uint32_t load = this->state.load[target.id];
            if (load < bestLoad) {
                best = &target;
                bestLoad = load;
            }
        }
        if (best != nullptr)
            ++this->state.load[best->id];
        return best;
    }

    SlotState *finishRequest(const SampleSlot &slot, SlotPhase expected)
    {
        const auto step = this->state.steps.find(slot.step);
        if (step == this->state.steps.end())
            return nullptr;
        const auto position = step->second.slots.find(slot);
        if (position == step->second.slots.end() || position->second.phase != expected)
            return nullptr;
        std::uint32_t &load = this->state.load[position->second.target];
        assert(load > 0);
        --load;
        return &position->second;
    }

    void seal(const StepId &id)
    {
        StepState &step = this->state.steps.at(id);
        if (step.phase != StepPhase::Filling)
            return;
        const bool whole = std::all_of(step.slots.begin(), step.slots.end(), [](const auto &entry) {
            return entry.second.phase == SlotPhase::Done;
        });
        if (!whole)
            return;
        step.phase = StepPhase::Storing;
        this->actions.push_back(StoreBatch{id, collectSamples(step)});
    }

    const Trainer *findTrainer(const TrainerName &name)
    {
        const auto &trainers = this->state.configuration->trainers;
        const auto found =
                std::find_if(trainers.begin(), trainers.end(),
                             [&](const Trainer &trainer) { return trainer.name == name; });
        return found == trainers.end() ? nullptr : &*found;
    }

    void answer(ReplyToken reply, StepAnswer answer, bool forwarded)
    {
        this->actions.push_back(AnswerStep{reply, std::move(answer), forwarded});
    }
};

} // namespace

const TrainerName &trainerOf(const StepRequest &request)
{
    struct Visitor
    {
        const TrainerName &operator()(const OpenStep &open) { return open.order.id.trainer; }
        const TrainerName &operator()(const FetchStep &fetch) { return fetch.id.trainer; }
        const TrainerName &operator()(const AcknowledgeStep &ack) { return ack.id.trainer; }
    };
    return std::visit(Visitor{}, request);
}

RolloutState makeRolloutState(NodeId self)
{
    RolloutState state;
    state.self = std::move(self);
    return state;
}

std::vector<RolloutAction> step(RolloutState &state, const RolloutEvent &event, Time now)
{
    Handler handler{state, now, {}};
    std::visit(handler, event);
    return std::move(handler.actions);
}

} // namespace geraniumpulley::core
