#include "cluster.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <set>

/// Invariants that are checked at the end of every scenario. They compare what the targets and
/// engines recorded with the answers that callers and trainers received, and do not use the state
/// of the nodes.
namespace scenario {
namespace {

// A caller whose call was answered "not run" may retry it, and the retry may run.
bool hasRetry(const Cluster &cluster, const CallRecord &call)
{
    return std::count_if(cluster.calls.begin(), cluster.calls.end(),
                         [&](const auto &other) { return other.second.identity == call.identity; })
           > 1;
}

void checkCall(Cluster &cluster, const std::string &name, const CallRecord &call)
{
    const std::uint64_t runs = cluster.runCount(call.identity);
    if (call.outcome == "not_run"
        && (call.runCountAtAnswer > 0 || (runs > 0 && !hasRetry(cluster, call))))
        cluster.violations.push_back(
                fmt::format("{} was answered not run, but it ran {} times", name, runs));
    if (!call.repeatable && runs > 1)
        cluster.violations.push_back(fmt::format("{} may not be repeated, but {} ran {} times",
                                                 name, call.identity, runs));
    if (call.outcome == "ran" && call.body != "answer to " + call.identity)
        cluster.violations.push_back(
                fmt::format("{} received '{}', which is not its own answer", name, call.body));
}

void checkSample(Cluster &cluster, const std::string &name, const StepRecord &step,
                 const core::SampleSlot &slot, const core::Sample &sample)
{
    std::vector<core::VersionSpan> generatedSpans;
    for (std::size_t at = 0; at < sample.text.size();) {
        const std::size_t end = sample.text.find(';', at) + 1;
        const auto chunk = cluster.generatedChunks.find(sample.text.substr(at, end - at));
        if (end == 0 || chunk == cluster.generatedChunks.end() || chunk->second.slot != slot) {
            cluster.violations.push_back(
                    name + " contains tokens that no engine generated for their sample slot");
            return;
        }
        core::appendSpan(generatedSpans, chunk->second.span);
        at = end;
    }
    if (generatedSpans != sample.spans)
        cluster.violations.push_back(name + " contains a sample labelled with the wrong versions");
    const std::uint64_t trainerVersion = core::number(step.spec.trainerVersion);
    for (const core::VersionSpan &span : sample.spans) {
        if (core::number(span.version) + step.stalenessBound < trainerVersion)
            cluster.violations.push_back(
                    fmt::format("{} contains a sample of version {} at version {}", name,
                                core::number(span.version), trainerVersion));
    }
}

void checkStep(Cluster &cluster, const std::string &name, const StepRecord &step)
{
    if (step.deliveredBatches.empty())
        return;
    const auto &batch = step.deliveredBatches.front();
    std::set<core::SampleSlot> slots;
    for (const auto &[slot, sample] : batch) {
        if (!slots.insert(slot).second)
            cluster.violations.push_back(name + " contains a sample slot twice");
        checkSample(cluster, name, step, slot, sample);
    }
    if (slots.size() != step.spec.prompts.size() * step.spec.groupSize)
        cluster.violations.push_back(
                fmt::format("{} is incomplete: {} samples", name, slots.size()));
    for (const auto &repeated : step.deliveredBatches) {
        const bool isEqual = std::equal(
                repeated.begin(), repeated.end(), batch.begin(), batch.end(),
                [](const auto &a, const auto &b) { return a.second.text == b.second.text; });
        if (!isEqual)
            cluster.violations.push_back(name + " was delivered twice with different contents");
    }
}

} // namespace

void checkInvariants(Cluster &cluster)
{
    for (const auto &[name, call] : cluster.calls)
        checkCall(cluster, name, call);
    for (const auto &[name, step] : cluster.steps)
        checkStep(cluster, name, step);
}

} // namespace scenario
