#include "cluster.hpp"

#include <geraniumpulley/codec/step_messages.hpp>
#include <geraniumpulley/codec/trainer_messages.hpp>

#include <fmt/format.h>

/// Performs the actions on the log of a step, as `node/step_store` does for a real node.
namespace scenario {
namespace {

using namespace geraniumpulley;

void deliver(Cluster &cluster, NodeProcess &node, std::uint64_t incarnation,
             const core::RolloutEvent &event)
{
    cluster.post(node, incarnation, [&cluster, &node, event] { cluster.deliver(node, event); });
}

void appendToLog(Cluster &cluster, NodeProcess &node, std::uint64_t incarnation,
                 const core::AppendRecord &append)
{
    cluster.store.transact(codec::appendTransaction(append),
                           [&cluster, &node, incarnation, append](core::CommitResult result) {
                               core::RecordAppended appended{append.id, append.record.writeId,
                                                             core::AppendOutcome::Unknown};
                               if (result == core::CommitResult::Committed)
                                   appended.outcome = core::AppendOutcome::Committed;
                               if (result == core::CommitResult::Refused)
                                   appended.outcome = core::AppendOutcome::Refused;
                               deliver(cluster, node, incarnation, appended);
                           });
}

// Reads the objects of samples directly, without the latency and the faults of the store.
core::StepLoaded readLog(const Cluster &cluster, const core::StepId &id,
                         const std::vector<codec::TableRow> &rows)
{
    core::StepLoaded loaded{id, true, {}};
    for (const codec::TableRow &row : rows) {
        auto record = codec::decodeStepRecord(row.value, id);
        if (!record)
            return {id, false, {}};
        auto *samplesRecord = std::get_if<core::SamplesFinished>(&record.value().content);
        if (samplesRecord != nullptr) {
            const auto object =
                    cluster.store.objects.find(codec::samplesPath(id, record.value().writeId));
            if (object == cluster.store.objects.end())
                return {id, false, {}};
            samplesRecord->samples = codec::decodeSamples(object->second, id).value();
        }
        loaded.records.push_back(record.value());
    }
    return loaded;
}

} // namespace

void perform(Cluster &cluster, NodeProcess &node, const core::ListSteps &action)
{
    cluster.store.readRow(codec::stepIndexKey(action.trainer),
                          [&cluster, &node, incarnation = node.incarnation,
                           trainer = action.trainer](const auto &rows) {
                              core::StepsListed listed{trainer, rows.has_value(), {}};
                              if (rows && !rows->empty()) {
                                  const auto steps = codec::decodeStepIndex(rows->front().value);
                                  listed.steps.assign(steps.value().begin(), steps.value().end());
                              }
                              deliver(cluster, node, incarnation, listed);
                          });
}

void perform(Cluster &cluster, NodeProcess &node, const core::LoadStep &action)
{
    cluster.store.readPrefix(
            codec::stepRowPrefix(action.id),
            [&cluster, &node, incarnation = node.incarnation, id = action.id](const auto &rows) {
                core::StepLoaded loaded{id, false, {}};
                if (rows)
                    loaded = readLog(cluster, id, *rows);
                deliver(cluster, node, incarnation, loaded);
            });
}

void perform(Cluster &cluster, NodeProcess &node, const core::AppendRecord &action)
{
    const char *const contentNames[] = {"opened", "samples", "sealed", "acknowledged"};
    cluster.simulation.record(fmt::format(
            "{} -> store: step {}/{} record {} {}", node.name, action.id.trainer.value,
            action.id.step, action.recordNumber, contentNames[action.record.content.index()]));
    const std::uint64_t incarnation = node.incarnation;
    const auto *samplesRecord = std::get_if<core::SamplesFinished>(&action.record.content);
    if (samplesRecord == nullptr)
        return appendToLog(cluster, node, incarnation, action);
    cluster.store.putObject(codec::samplesPath(action.id, action.record.writeId),
                            codec::encodeSamples(samplesRecord->samples),
                            [&cluster, &node, incarnation, action](bool answered) {
                                if (answered)
                                    return appendToLog(cluster, node, incarnation, action);
                                deliver(cluster, node, incarnation,
                                        core::RecordAppended{action.id, action.record.writeId,
                                                             core::AppendOutcome::Unknown});
                            });
}

void perform(Cluster &cluster, NodeProcess &node, const core::ReadRecord &action)
{
    cluster.store.readRow(
            codec::stepRowKey(action.id, action.recordNumber),
            [&cluster, &node, incarnation = node.incarnation, action](const auto &rows) {
                core::RecordRead read{action.id, action.writeId, rows.has_value(), {}};
                if (rows && !rows->empty())
                    read.foundWriteId =
                            codec::decodeStepRecord(rows->front().value, action.id).value().writeId;
                deliver(cluster, node, incarnation, read);
            });
}

} // namespace scenario
