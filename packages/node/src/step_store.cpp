#include "step_store.hpp"

#include "platform_replies.hpp"

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

// Loads the log of a step: reads its rows and then its sample objects one after the other. Pending
// callbacks keep the reader alive.
class LogReader : public std::enable_shared_from_this<LogReader>
{
public:
    LogReader(Parts &parts, core::StepId id) : parts(parts), id(std::move(id)) { }

    void start()
    {
        this->parts.platformClient->send(
                {"GET",
                 "/table/rows?prefix=" + codec::stepRowPrefix(this->id),
                 {},
                 [self = this->shared_from_this()](net::PlatformReply &&reply) {
                     self->onRowsRead(reply);
                 }});
    }

private:
    void onRowsRead(const net::PlatformReply &reply)
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
        this->readNextSamples();
    }

    // Skips all samples if the batch has been acknowledged, because they are no longer needed.
    void readNextSamples()
    {
        const bool isAcknowledged =
                !this->records.empty()
                && std::holds_alternative<core::BatchAcknowledged>(this->records.back().content);
        while (this->recordIndex < this->records.size()
               && (isAcknowledged
                   || !std::holds_alternative<core::SamplesFinished>(
                           this->records[this->recordIndex].content)))
            ++this->recordIndex;
        if (this->recordIndex == this->records.size())
            return this->finish(true);
        const std::string &writeId = this->records[this->recordIndex].writeId;
        this->parts.platformClient->send(
                {"GET",
                 codec::samplesPath(this->id, writeId),
                 {},
                 [self = this->shared_from_this()](net::PlatformReply &&reply) {
                     self->onSamplesRead(reply);
                 }});
    }

    void onSamplesRead(const net::PlatformReply &reply)
    {
        if (!isOk(reply))
            return this->finish(false);
        auto samples = codec::decodeSamples(reply.body, this->id);
        if (!samples)
            return this->finish(false);
        auto &content = this->records[this->recordIndex].content;
        std::get<core::SamplesFinished>(content).samples = std::move(samples.value());
        ++this->recordIndex;
        this->readNextSamples();
    }

    void finish(bool succeeded)
    {
        if (!succeeded)
            this->records.clear();
        push(this->parts, core::StepLoaded{this->id, succeeded, std::move(this->records)});
    }

    Parts &parts;
    core::StepId id;
    std::vector<core::StepRecord> records;
    std::size_t recordIndex = 0;
};

core::AppendOutcome toAppendOutcome(const net::PlatformReply &reply)
{
    if (isOk(reply))
        return core::AppendOutcome::Committed;
    return isConflict(reply) ? core::AppendOutcome::Refused : core::AppendOutcome::Unknown;
}

void commitRecord(Parts &parts, const core::AppendRecord &append)
{
    parts.platformClient->send(
            {"POST", "/table/transact", codec::encodeTransaction(codec::appendTransaction(append)),
             [&parts, id = append.id, writeId = append.record.writeId](net::PlatformReply &&reply) {
                 push(parts, core::RecordAppended{id, writeId, toAppendOutcome(reply)});
             }});
}

} // namespace

void listSteps(Parts &parts, core::ListSteps &&list)
{
    const std::string path = "/table/rows?key=" + codec::stepIndexKey(list.trainer);
    parts.platformClient->send(
            {"GET", path, {}, [&parts, trainer = list.trainer](net::PlatformReply &&reply) {
                 core::StepsListed listed{trainer, false, {}};
                 const auto rows = codec::decodeRows(reply.body);
                 listed.succeeded = isOk(reply) && rows;
                 if (listed.succeeded && !rows.value().empty()) {
                     const auto steps = codec::decodeStepIndex(rows.value().front().value);
                     listed.succeeded = steps.has_value();
                     if (steps)
                         listed.steps.assign(steps.value().begin(), steps.value().end());
                 }
                 push(parts, std::move(listed));
             }});
}

void loadStep(Parts &parts, core::LoadStep &&load)
{
    std::make_shared<LogReader>(parts, std::move(load.id))->start();
}

// The row is written after the samples, so that a record never refers to samples that do not exist.
void appendRecord(Parts &parts, core::AppendRecord &&append)
{
    const auto *samplesFinished = std::get_if<core::SamplesFinished>(&append.record.content);
    if (samplesFinished == nullptr)
        return commitRecord(parts, append);
    const std::string path = codec::samplesPath(append.id, append.record.writeId);
    std::string body = codec::encodeSamples(samplesFinished->samples);
    parts.platformClient->send({"PUT", path, std::move(body),
                                [&parts, append = std::move(append)](net::PlatformReply &&reply) {
                                    if (isOk(reply))
                                        return commitRecord(parts, append);
                                    push(parts,
                                         core::RecordAppended{append.id, append.record.writeId,
                                                              core::AppendOutcome::Unknown});
                                }});
}

void readRecord(Parts &parts, core::ReadRecord &&read)
{
    const std::string path = "/table/rows?key=" + codec::stepRowKey(read.id, read.recordNumber);
    parts.platformClient->send({"GET", path, {}, [&parts, read](net::PlatformReply &&reply) {
                                    core::RecordRead result{read.id, read.writeId, false, {}};
                                    const auto rows = codec::decodeRows(reply.body);
                                    result.succeeded = isOk(reply) && rows;
                                    if (result.succeeded && !rows.value().empty()) {
                                        const auto record = codec::decodeStepRecord(
                                                rows.value().front().value, read.id);
                                        result.succeeded = record.has_value();
                                        if (record)
                                            result.foundWriteId = record.value().writeId;
                                    }
                                    push(parts, std::move(result));
                                }});
}

} // namespace geraniumpulley::node
