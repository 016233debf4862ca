#include "batch_store.hpp"
#include "duties.hpp"
#include "peer_paths.hpp"
#include "permit_link.hpp"
#include "progress_messages.hpp"

#include <geraniumpulley/codec/progress_messages.hpp>
#include <geraniumpulley/platform/client_messages.hpp>
#include <geraniumpulley/platform/target_messages.hpp>
#include <geraniumpulley/runtime/clock.hpp>

#include <memory>
#include <string>
#include <utility>

namespace geraniumpulley::entry {
namespace {

using runtime::field;

constexpr core::Duration connectTimeout = std::chrono::milliseconds(400);
// How long the owner of a batch is asked for its progress.
constexpr core::Duration progressTimeout = std::chrono::milliseconds(1000);

const char *nameOf(core::OwnershipChange change)
{
    switch (change) {
    case core::OwnershipChange::Opened:
        return "batch_opened";
    case core::OwnershipChange::TakenOver:
        return "batch_taken_over";
    case core::OwnershipChange::Ended:
        return "batch_ended";
    case core::OwnershipChange::Superseded:
        return "batch_superseded";
    case core::OwnershipChange::HandedOver:
        return "batch_handed_over";
    case core::OwnershipChange::Complete:
        return "batch_complete";
    }
    return "unknown";
}

const char *nameOf(core::SubmitVerdict verdict)
{
    switch (verdict) {
    case core::SubmitVerdict::Accepted:
        return "accepted";
    case core::SubmitVerdict::NoRoute:
        return "no_route";
    case core::SubmitVerdict::StoreUnavailable:
        return "store_unavailable";
    case core::SubmitVerdict::Uncertain:
        return "uncertain";
    case core::SubmitVerdict::NoRoom:
        return "no_room";
    }
    return "unknown";
}

struct BatchDuty
{
    Parts &parts;
    core::BatchState state;
    TickTimer wakeup;

    std::optional<core::Time> due() const { return core::dueAt(this->state, runtime::now()); }

    void push(core::BatchEvent event) { this->parts.batches.deliver(std::move(event)); }

    void perform(core::StoreSubmission &&action) { storeSubmission(this->parts, action); }
    void perform(core::StoreResults &&action) { storeResults(this->parts, action); }
    void perform(core::StoreHead &&action) { storeHead(this->parts, action); }
    void perform(core::LoadBatch &&action) { loadBatch(this->parts, action); }
    void perform(core::ReadResults &&action) { readResults(this->parts, action); }
    void perform(core::RemoveBatch &&action) { removeBatch(this->parts, action); }

    void perform(core::StartRun &&run)
    {
        const std::string &item = run.spec->items[run.itemIndex].id.value;
        this->parts.logger.write(
                "run_started", field("item", item), field("batch", run.batch.value),
                field("target", run.target.id.value), field("software", run.software.value),
                field("after", run.lastEventId), field("cause", codec::nameOf(run.cause)));
        net::HttpRequest request = platform::encodeRun(run, runtime::now());
        request.deadline = run.deadline;
        request.connectTimeout = connectTimeout;
        request.readTimeout = run.silenceLimit;
        request.cancelKey = cancelKeyOf(run.run);
        const auto buffer = std::make_shared<platform::EventStreamBuffer>();
        request.onResponseHead = [this, id = run.run,
                                  target = run.target.id](net::HttpResponseHead &&head) {
            noteLeaving(this->parts, target, head.status, head.headers);
            this->push(core::RunHeadReceived{id, platform::decodeRunHead(head),
                                             platform::decodeRateLimit(head.headers)});
        };
        request.onBodyPart = [this, id = run.run, buffer](std::string &&piece) {
            bool hasEvent = false;
            for (platform::StreamEvent &event : platform::decodeEvents(*buffer, piece)) {
                if (event.isComment)
                    continue;
                hasEvent = true;
                this->push(core::RunEventReceived{id, event.eventId, std::move(event.text),
                                                  event.version});
            }
            if (buffer->isOverlong)
                cancelOverlong(this->parts, *this->parts.engineClient, id);
            return hasEvent;
        };
        request.done = [this, id = run.run, item, target = run.target.id.value, buffer,
                        sentAt = runtime::now()](net::HttpResult &&result) {
            const core::RunEnd end = platform::decodeRunEnd(result, *buffer);
            this->logRunEnd(item, target, result, end, runtime::now() - sentAt);
            if (!result.isDeliveredInParts)
                noteLeaving(this->parts, {target}, result.status, result.headers);
            this->push(core::RunEnded{id, end, platform::decodeRateStatement(result),
                                      result.failure != net::SendFailure::None});
        };
        this->parts.engineClient->send(std::move(request));
    }

    void logRunEnd(const std::string &item, const std::string &target,
                   const net::HttpResult &result, core::RunEnd end, core::Duration elapsed)
    {
        this->parts.metrics.observe("run", elapsed);
        if (end == core::RunEnd::Complete)
            return;
        this->parts.logger.write(
                "run_broken", field("item", item), field("target", target),
                field("status", result.status), field("failure", static_cast<int>(result.failure)),
                field("end", static_cast<int>(end)), field("after_ms", elapsed.count() / 1000));
    }

    void perform(core::CancelRun &&cancel)
    {
        if (!this->parts.engineClient->cancel(cancelKeyOf(cancel.run)))
            this->parts.metrics.count("cancels_dropped");
    }

    // If the ring of the call duty is full, the request is reported as unanswered, so that the core
    // retries it.
    void perform(core::ScoreRequested &&request)
    {
        core::ScoreCompleted refused;
        refused.batch = request.batch;
        refused.item = request.item;
        if (!this->parts.calls.inbox().tryPush(std::move(request)))
            this->push(std::move(refused));
    }

    void perform(core::AnswerBatchSubmission &&answer)
    {
        this->parts.logger.write("batch_answered", field("batch", answer.batch.value),
                                 field("verdict", nameOf(answer.verdict)));
        this->parts.metrics.count(std::string("batches_") + nameOf(answer.verdict));
        this->parts.callerServer->respond(platform::encodeAnswer(answer));
    }

    void perform(core::AnswerResults &&answer)
    {
        if (answer.verdict != core::ReadVerdict::Found || !answer.results.empty()) {
            this->parts.logger.write("results_answered", field("batch", answer.batch.value),
                                     field("verdict", static_cast<int>(answer.verdict)),
                                     field("after", answer.firstPosition),
                                     field("results", answer.results.size()));
        }
        this->parts.callerServer->respond(platform::encodeAnswer(answer));
    }

    void perform(core::AnswerItemBody &&answer)
    {
        this->parts.callerServer->respond(platform::encodeAnswer(std::move(answer)));
    }

    void perform(core::AnswerBatchProgress &&answer)
    {
        std::string progress = answer.verdict == core::ReadVerdict::Found
                                       ? codec::encodeProgress(answer.batch, answer.progress)
                                       : std::string();
        if (answer.isForwarded)
            return this->parts.peerLink->reply(answer.reply, std::move(progress));
        this->parts.callerServer->respond(
                encodeProgressAnswer(answer.reply, answer.verdict, std::move(progress)));
    }

    void perform(core::ForwardProgressRequest &&request)
    {
        this->parts.peerLink->send({std::move(request.address), progressPath, request.batch.value,
                                    runtime::now() + progressTimeout,
                                    [this, token = request.reply](net::PeerReply &&reply) {
                                        const bool isAnswered =
                                                reply.failure == net::SendFailure::None
                                                && !reply.body.empty();
                                        this->parts.callerServer->respond(encodeProgressAnswer(
                                                token,
                                                isAnswered ? core::ReadVerdict::Found
                                                           : core::ReadVerdict::StoreUnavailable,
                                                std::move(reply.body)));
                                    }});
    }

    void perform(core::AnswerBatchEnd &&answer)
    {
        this->parts.logger.write("batch_end_answered", field("batch", answer.batch.value),
                                 field("verdict", static_cast<int>(answer.verdict)));
        this->parts.callerServer->respond(platform::encodeAnswer(answer));
    }

    void perform(core::OwnershipChanged &&change)
    {
        this->parts.logger.write(nameOf(change.change), field("batch", change.batch.value),
                                 field("fence", static_cast<std::uint64_t>(change.fencingToken)),
                                 field("listed", change.committedCount),
                                 field("total", change.itemCount));
    }

    // A full ring drops the notice; further runs fail if the engines cannot be reached.
    void perform(core::EngineUnreached &&unreached)
    {
        static_cast<void>(this->parts.calls.inbox().tryPush(std::move(unreached)));
    }

    void perform(core::DemandReport &&report) { sendDemand(this->parts, report); }

    void perform(core::RateLimitChanged &&change) { logRateLimit(this->parts, change); }

    void perform(core::RequestPermits &&request)
    {
        requestPermits(this->parts, request, "batches", [this](core::PermitsReceived &&received) {
            this->push(std::move(received));
        });
    }

    void perform(core::BatchesDrained &&) { this->parts.batchesDrained.set(); }
};

} // namespace

void startBatchDuty(Parts &parts, const core::Node &self)
{
    auto duty = std::make_shared<BatchDuty>(
            BatchDuty{parts, core::makeBatchState(self, {}), TickTimer(*parts.timer, [&parts] {
                          static_cast<void>(parts.batches.inbox().tryPush(core::BatchTick{}));
                      })});
    parts.batches.start("batches", [duty](core::BatchEvent &&event) {
        decideAndArm<core::BatchTick>(*duty, event);
    });
}

} // namespace geraniumpulley::entry
