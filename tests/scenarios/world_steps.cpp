#include "world.hpp"

#include <geraniumpulley/codec/step_messages.hpp>
#include <geraniumpulley/codec/trainer_messages.hpp>

#include <fmt/format.h>

/// Performs the actions on the log of a step, as node/step_store does.
namespace scenario {
namespace {

using namespace geraniumpulley;

void push(World &world, NodeProcess &node, std::uint64_t incarnation,
          const core::RolloutEvent &event)
{
    world.post(node, incarnation, [&world, &node, event] { world.deliver(node, event); });
}

void transact(World &world, NodeProcess &node, std::uint64_t incarnation,
              const core::AppendRecord &append)
{
    world.store.transact(codec::appendTransaction(append),
                         [&world, &node, incarnation, append](core::CommitResult result) {
                             core::RecordAppended appended{append.id, append.record.writeId,
                                                           core::AppendOutcome::Unknown};
                             if (result == core::CommitResult::Committed)
                                 appended.outcome = core::AppendOutcome::Committed;
                             if (result == core::CommitResult::Refused)
                                 appended.outcome = core::AppendOutcome::Refused;
                             push(world, node, incarnation, appended);
                         });
}

// The objects are read as the scenario's store holds them at that moment.
core::StepLoaded readLog(const World &world, const core::StepId &id,
                         const std::vector<codec::TableRow> &rows)
{
    core::StepLoaded loaded{id, true, {}};
    for (const codec::TableRow &row : rows) {
        auto record = codec::decodeStepRecord(row.value, id);
        if (!record)
            return {id, false, {}};
        auto *finished = std::get_if<core::SamplesFinished>(&record.value().content);
        if (finished != nullptr) {
            const auto object =
                    world.store.objects.find(codec::samplesPath(id, record.value().writeId));
            if (object == world.store.objects.end())
                return {id, false, {}};
            finished->samples = codec::decodeSamples(object->second, id).value();
        }
        loaded.records.push_back(record.value());
    }
    return loaded;
}

} // namespace

void perform(World &world, NodeProcess &node, const core::ListSteps &action)
{
    world.store.readRow(codec::stepIndexKey(action.trainer),
                        [&world, &node, incarnation = node.incarnation,
                         trainer = action.trainer](const auto &rows) {
                            core::StepsListed listed{trainer, rows.has_value(), {}};
                            if (rows && !rows->empty()) {
                                const auto steps = codec::decodeStepIndex(rows->front().value);
                                listed.steps.assign(steps.value().begin(), steps.value().end());
                            }
                            push(world, node, incarnation, listed);
                        });
}

void perform(World &world, NodeProcess &node, const core::LoadStep &action)
{
    world.store.read(
            codec::stepRowPrefix(action.id),
            [&world, &node, incarnation = node.incarnation, id = action.id](const auto &rows) {
                core::StepLoaded loaded{id, false, {}};
                if (rows)
                    loaded = readLog(world, id, *rows);
                push(world, node, incarnation, loaded);
            });
}

void perform(World &world, NodeProcess &node, const core::AppendRecord &action)
{
    const char *const contents[] = {"opened", "samples", "sealed", "acknowledged"};
    world.simulation.record(fmt::format("{} -> store: step {}/{} record {} {}", node.name,
                                        action.id.trainer.value, action.id.step, action.number,
                                        contents[action.record.content.index()]));
    const std::uint64_t incarnation = node.incarnation;
    const auto *finished = std::get_if<core::SamplesFinished>(&action.record.content);
    if (finished == nullptr)
        return transact(world, node, incarnation, action);
    world.store.putObject(codec::samplesPath(action.id, action.record.writeId),
                          codec::encodeSamples(finished->samples),
                          [&world, &node, incarnation, action](bool answered) {
                              if (answered)
                                  return transact(world, node, incarnation, action);
                              push(world, node, incarnation,
                                   core::RecordAppended{action.id, action.record.writeId,
                                                        core::AppendOutcome::Unknown});
                          });
}

void perform(World &world, NodeProcess &node, const core::ReadRecord &action)
{
    world.store.readRow(
            codec::stepRowKey(action.id, action.number),
            [&world, &node, incarnation = node.incarnation, action](const auto &rows) {
                core::RecordRead read{action.id, action.writeId, rows.has_value(), {}};
                if (rows && !rows->empty())
                    read.foundWriteId =
                            codec::decodeStepRecord(rows->front().value, action.id).value().writeId;
                push(world, node, incarnation, read);
            });
}

} // namespace scenario
