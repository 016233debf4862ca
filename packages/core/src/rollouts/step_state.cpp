#include <geraniumpulley/core/rollouts/step_state.hpp>

#include <algorithm>
#include <limits>

namespace geraniumpulley::core {
namespace {

SamplesFinished collectUncommitted(const StepState &step)
{
    SamplesFinished record;
    for (const SampleSlot &slot : step.uncommitted) {
        if (record.samples.size() == maxRecordSamples)
            break;
        record.samples.emplace_back(slot, step.slots.at(slot).sample);
    }
    return record;
}

// A group without finished samples is expected to have the mean length; a group without started
// samples is treated as the longest, so that its length becomes known early.
double expectedLength(const StepState &step, std::uint32_t group, double mean)
{
    const auto position = step.groups.find(group);
    if (position == step.groups.end() || position->second.started == 0)
        return std::numeric_limits<double>::max();
    const GroupLengths &lengths = position->second;
    return (static_cast<double>(lengths.finishedTokens) + mean) / (lengths.finished + 1);
}

// Applies the content of a log record to the step.
struct Applier
{
    StepState &step;
    Time now;

    void operator()(const StepOpened &) { }

    void operator()(const SamplesFinished &record)
    {
        for (const auto &[slot, sample] : record.samples) {
            const auto position = this->step.slots.find(slot);
            if (position == this->step.slots.end())
                continue;
            SlotState &state = position->second;
            // The slot may have been discarded as stale and regenerated since the append; the
            // committed sample is then no longer the current one.
            const bool isCurrent = state.phase == SlotPhase::Finished && state.sample == sample;
            const bool isReplaying = !this->step.logLoaded;
            if (!isCurrent && !isReplaying)
                continue;
            state.sample = sample;
            setPhase(this->step, slot, SlotPhase::Finished, this->now);
            state.committed = true;
            this->step.uncommitted.erase(slot);
        }
        this->step.oldestUncommittedAt = this->now;
    }

    void operator()(const BatchSealed &record)
    {
        this->step.phase = StepPhase::Sealed;
        this->step.digest = record.digest;
        this->step.trainerVersion = std::max(this->step.trainerVersion, record.trainerVersion);
    }

    void operator()(const BatchAcknowledged &)
    {
        this->step.phase = StepPhase::Acknowledged;
        for (auto &[slot, state] : this->step.slots)
            state.sample = Sample{};
    }
};

} // namespace

StepState makeStepState(const StepSpec &order, Time now)
{
    StepState step;
    step.spec = order;
    step.dueAt = now + order.dueIn;
    step.trainerVersion = order.trainerVersion;
    const auto groups = static_cast<std::uint32_t>(order.prompts.size());
    for (std::uint32_t group = 0; group < groups; ++group) {
        for (std::uint32_t index = 0; index < order.groupSize; ++index) {
            const SampleSlot slot{order.id, group, index};
            step.slots.emplace_hint(step.slots.end(), slot, SlotState{});
            step.waiting.emplace_hint(step.waiting.end(), slot);
        }
    }
    return step;
}

std::optional<StepState> replayLog(const std::vector<StepRecord> &records, Time now)
{
    const auto *opened =
            records.empty() ? nullptr : std::get_if<StepOpened>(&records.front().content);
    if (opened == nullptr)
        return std::nullopt;
    StepState step = makeStepState(opened->spec, now);
    mergeLog(step, records, now);
    return step;
}

void mergeLog(StepState &step, const std::vector<StepRecord> &records, Time now)
{
    for (const StepRecord &record : records)
        applyRecord(step, record.content, now);
    step.nextRecordNumber = records.size();
    if (!records.empty())
        step.dueAt = now + records.back().timeLeft;
    step.logLoaded = true;
}

void setPhase(StepState &step, const SampleSlot &slot, SlotPhase phase, Time now)
{
    SlotState &state = step.slots.at(slot);
    step.waiting.erase(slot);
    step.interrupted.erase(slot);
    step.unscored.erase(slot);
    if (state.phase == SlotPhase::Generating)
        --step.inFlight;
    if (state.phase == SlotPhase::Finished)
        --step.finished;
    state.phase = phase;
    if (phase == SlotPhase::Waiting)
        step.waiting.insert(slot);
    if (phase == SlotPhase::Waiting && state.tokens > 0)
        step.interrupted.insert(slot);
    if (phase == SlotPhase::Unscored)
        step.unscored.insert(slot);
    if (phase == SlotPhase::Generating)
        ++step.inFlight;
    if (phase != SlotPhase::Finished) {
        state.committed = false;
        step.uncommitted.erase(slot);
        return;
    }
    ++step.finished;
    if (step.uncommitted.empty())
        step.oldestUncommittedAt = now;
    step.uncommitted.insert(slot);
}

const SampleSlot *nextSlot(const StepState &step)
{
    if (!step.interrupted.empty())
        return &*step.interrupted.begin();
    std::uint64_t tokens = 0;
    std::uint64_t finished = 0;
    for (const auto &[group, lengths] : step.groups) {
        tokens += lengths.finishedTokens;
        finished += lengths.finished;
    }
    const double mean =
            finished == 0 ? 0 : static_cast<double>(tokens) / static_cast<double>(finished);
    const SampleSlot *best = nullptr;
    double bestLength = -1;
    auto position = step.waiting.begin();
    while (position != step.waiting.end()) {
        const double length = expectedLength(step, position->group, mean);
        if (length > bestLength) {
            best = &*position;
            bestLength = length;
        }
        position = step.waiting.lower_bound({position->step, position->group + 1, 0});
    }
    return best;
}

std::uint64_t discardStaleSamples(StepState &step, std::uint64_t bound, Time now)
{
    if (step.phase != StepPhase::Collecting)
        return 0;
    std::uint64_t count = 0;
    for (auto &[slot, state] : step.slots) {
        if (!isStale(state.sample, step.trainerVersion, bound))
            continue;
        state.sample = Sample{};
        state.tokens = 0;
        ++state.attempt; // Late events of the discarded attempt are then ignored.
        setPhase(step, slot, SlotPhase::Waiting, now);
        ++count;
    }
    step.discarded += count;
    return count;
}

bool isComplete(const StepState &step)
{
    return step.finished == step.slots.size() && step.uncommitted.empty();
}

std::optional<StepRecordContent> nextRecordContent(const StepState &step, bool isBatchRequested,
                                                   Time now)
{
    if (step.nextRecordNumber == 0)
        return StepOpened{step.spec};
    if (step.phase == StepPhase::Acknowledging)
        return BatchAcknowledged{step.digest};
    if (step.phase != StepPhase::Collecting)
        return std::nullopt;
    const bool allFinished = step.finished == step.slots.size();
    const bool isCommitDue = step.uncommitted.size() >= groupCommitSamples || allFinished
                             || now - step.oldestUncommittedAt >= groupCommitDelay;
    if (!step.uncommitted.empty() && isCommitDue)
        return collectUncommitted(step);
    if (isComplete(step) && isBatchRequested)
        return BatchSealed{step.trainerVersion, digestOf(collectSamples(step))};
    return std::nullopt;
}

void applyRecord(StepState &step, const StepRecordContent &content, Time now)
{
    std::visit(Applier{step, now}, content);
}

std::vector<std::pair<SampleSlot, Sample>> collectSamples(const StepState &step)
{
    std::vector<std::pair<SampleSlot, Sample>> samples;
    samples.reserve(step.slots.size());
    for (const auto &[slot, state] : step.slots)
        samples.emplace_back(slot, state.sample);
    return samples;
}

StepAnswer makeStepAnswer(const StepState &step)
{
    StepAnswer answer;
    answer.total = step.slots.size();
    answer.finished = step.finished;
    answer.discarded = step.discarded;
    answer.durable = step.nextRecordNumber > 0;
    answer.digest = step.digest;
    if (step.phase == StepPhase::Acknowledged)
        answer.verdict = StepVerdict::Acknowledged;
    if (step.phase == StepPhase::Sealed || step.phase == StepPhase::Acknowledging) {
        answer.verdict = StepVerdict::Ready;
        answer.samples = collectSamples(step);
    }
    return answer;
}

} // namespace geraniumpulley::core
