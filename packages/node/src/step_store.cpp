#include "step_store.hpp"

#include "platform_results.hpp"

#include <geraniumpulley/codec/step_messages.hpp>
#include <geraniumpulley/codec/trainer_messages.hpp>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace geraniumpulley::node {
namespace {

void push(Parts &parts, core::RolloutEvent event)
{
    parts.rollout.deliver(std::move(event));
}

// Reads the objects of a log one after the other; its callbacks hold it alive.
class LogReader : public std::enable_shared_from_this<LogReader>
{
public:
    LogReader(Parts &parts, core::StepId id) : parts(parts), id(std::move(id)) { }

    void start()
    {
        this->parts.platform->send({"GET",
                                    "/table/rows?prefix=" + codec::stepRowPrefix(this->id),
                                    {},
                                    [self = this->shared_from_this()](net::PlatformReply &&reply) {
                                        self->onRows(reply);
                                    }});
    }

private:
    void onRows(const net::PlatformReply &reply)
    {
        if (!isOk(reply))
            return this->finish(false);
        const auto rows = codec::decodeRows(reply.body);
        if (!rows)
            return this->finish(false);
        for (const codec::TableRow &row : rows.value()) {
            auto record = codec::decodeStepRecord(row.value, this->id);
            if (!record)
                return this->finish(false);
            this->records.push_back(std::move(record.value()));
        }
        this->readNext();
    }

    // The samples of an acknowledged batch are not needed any more.
    void readNext()
    {
        const bool isOver =
                !this->records.empty()
                && std::holds_alternative<core::BatchAcknowledged>(this->records.back().content);
        while (this->position < this->records.size()
               && (isOver
                   || !std::holds_alternative<core::SamplesFinished>(
                           this->records[this->position].content)))
            ++this->position;
        if (this->position == this->records.size())
            return this->finish(true);
        const std::string &writeId = this->records[this->position].writeId;
        this->parts.platform->send({"GET",
                                    codec::samplesPath(this->id, writeId),
                                    {},
                                    [self = this->shared_from_this()](net::PlatformReply &&reply) {
                                        self->onSamples(reply);
                                    }});
    }

    void onSamples(const net::PlatformReply &reply)
    {
        if (!isOk(reply))
            return this->finish(false);
        auto samples = codec::decodeSamples(reply.body, this->id);
        if (!samples)
            return this->finish(false);
        auto &content = this->records[this->position].content;
        std::get<core::SamplesFinished>(content).samples = std::move(samples.value());
        ++this->position;
        this->readNext();
    }

    void finish(bool answered)
    {
        if (!answered)
            this->records.clear();
        push(this->parts, core::StepLoaded{this->id, answered, std::move(this->records)});
    }

    Parts &parts;
    core::StepId id;
    std::vector<core::StepRecord> records;
    std::size_t position = 0;
};

core::AppendOutcome outcomeOf(const net::PlatformReply &reply)
{
    if (isOk(reply))
        return core::AppendOutcome::Committed;
    return isConflict(reply) ? core::AppendOutcome::Refused : core::AppendOutcome::Unknown;
}

void transact(Parts &parts, const core::AppendRecord &append)
{
    parts.platform->send(
            {"POST", "/table/transact", codec::encodeTransaction(codec::appendTransaction(append)),
             [&parts, id = append.id, writeId = append.record.writeId](net::PlatformReply &&reply) {
                 push(parts, core::RecordAppended{id, writeId, outcomeOf(reply)});
             }});
}

} // namespace

void listSteps(Parts &parts, core::ListSteps &&order)
{
    const std::string path = "/table/rows?key=" + codec::stepIndexKey(order.trainer);
    parts.platform->send(
            {"GET", path, {}, [&parts, trainer = order.trainer](net::PlatformReply &&reply) {
                 core::StepsListed listed{trainer, false, {}};
                 const auto rows = codec::decodeRows(reply.body);
                 listed.answered = isOk(reply) && rows;
                 if (listed.answered && !rows.value().empty()) {
                     const auto steps = codec::decodeStepIndex(rows.value().front().value);
                     listed.answered = steps.has_value();
                     if (steps)
                         listed.steps.assign(steps.value().begin(), steps.value().end());
                 }
                 push(parts, std::move(listed));
             }});
}

void loadStep(Parts &parts, core::LoadStep &&order)
{
    std::make_shared<LogReader>(parts, std::move(order.id))->start();
}

// The row is written last, so that a record never names samples that are not there.
void appendRecord(Parts &parts, core::AppendRecord &&append)
{
    const auto *finished = std::get_if<core::SamplesFinished>(&append.record.content);
    if (finished == nullptr)
        return transact(parts, append);
    const std::string path = codec::samplesPath(append.id, append.record.writeId);
    std::string body = codec::encodeSamples(finished->samples);
    parts.platform->send({"PUT", path, std::move(body),
                          [&parts, append = std::move(append)](net::PlatformReply &&reply) {
                              if (isOk(reply))
                                  return transact(parts, append);
                              push(parts, core::RecordAppended{append.id, append.record.writeId,
                                                               core::AppendOutcome::Unknown});
                          }});
}

void readRecord(Parts &parts, core::ReadRecord &&order)
{
    const std::string path = "/table/rows?key=" + codec::stepRowKey(order.id, order.number);
    parts.platform->send({"GET", path, {}, [&parts, order](net::PlatformReply &&reply) {
                              core::RecordRead read{order.id, order.writeId, false, {}};
                              const auto rows = codec::decodeRows(reply.body);
                              read.answered = isOk(reply) && rows;
                              if (read.answered && !rows.value().empty()) {
                                  const auto record = codec::decodeStepRecord(
                                          rows.value().front().value, order.id);
                                  read.answered = record.has_value();
                                  if (record)
                                      read.foundWriteId = record.value().writeId;
                              }
                              push(parts, std::move(read));
                          }});
}

} // namespace geraniumpulley::node
