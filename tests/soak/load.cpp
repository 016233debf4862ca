#include "load.hpp"

#include "../live/platform_fleet.hpp"

#include <geraniumpulley/net/http_client.hpp>
#include <geraniumpulley/runtime/clock.hpp>

#include <cpprest/json.h>
#include <fmt/format.h>

#include <future>
#include <memory>
#include <optional>
#include <random>
#include <stdexcept>

namespace soak {
namespace {

using namespace geraniumpulley;
using std::chrono::milliseconds;

constexpr const char *host = "site.example";
constexpr milliseconds callTimeout(3000); // Above the routes' timeout of 2 s.
constexpr milliseconds streamTimeout(25000); // Above the route's timeout of 20 s.
constexpr milliseconds batchTimeout(7000); // Above the timeout of the nodes for the store.
constexpr milliseconds callerDelay(10);
constexpr milliseconds trainerDelay(50);
// Within this time after the 202, a node may not know the batch yet (settle_ms in the users'
// requirements).
constexpr milliseconds settleTime(1000);
constexpr std::size_t batchItemCount = 6;
constexpr std::uint32_t rereadInterval = 4; // One read in 4 starts at the first position again.

struct Client
{
    explicit Client(std::uint64_t seed)
        : random(seed), caller(std::move(net::HttpClient::create({}).value()))
    {
    }

    /// Sends one request on a persistent connection, without retries, and waits for its result.
    net::HttpResult sendAndWait(net::HttpRequest &&request, core::Duration timeout)
    {
        std::promise<net::HttpResult> done;
        request.host = host;
        request.idHeader = "X-Attempt-Id";
        request.reuseConnection = true;
        request.deadline = runtime::now() + timeout;
        request.done = [&done](net::HttpResult &&result) { done.set_value(std::move(result)); };
        this->caller->send(std::move(request));
        return done.get_future().get();
    }

    std::uint64_t randomBelow(std::uint64_t bound) { return this->random() % bound; }

    std::mt19937_64 random;
    std::unique_ptr<net::HttpClient> caller;
};

std::uint32_t statusOf(const net::HttpResult &result)
{
    return result.failure == net::SendFailure::None ? result.status : 0;
}

bool isAllowedStatus(std::uint32_t status)
{
    return status == 0 || status == 200 || status == 502 || status == 503 || status == 504;
}

std::vector<std::string> parseResults(const std::string &body)
{
    std::vector<std::string> results;
    const web::json::value parsed = web::json::value::parse(body);
    for (const web::json::value &result : parsed.at("results").as_array())
        results.push_back(result.serialize());
    return results;
}

} // namespace

Load::Load(LoadSettings initialSettings, ClientHistory &history)
    : settings(std::move(initialSettings)), history(history)
{
    for (std::size_t i = 0; i < this->settings.callerCount; ++i)
        this->threads.emplace_back([this, i] { this->runCaller(i); });
    for (std::size_t i = 0; i < this->settings.trainerCount; ++i)
        this->threads.emplace_back([this, i] { this->runTrainer(i); });
    for (std::size_t i = 0; i < this->settings.streamReaderCount; ++i)
        this->threads.emplace_back([this, i] { this->runStreamReader(i); });
}

Load::~Load()
{
    this->finish(runtime::now());
}

void Load::finish(core::Time deadline)
{
    this->deadline = deadline;
    this->stopping = true;
    this->changed.notify_all();
    for (std::thread &thread : this->threads)
        thread.join();
    this->threads.clear();
}

bool Load::isPastDeadline() const
{
    return runtime::now() >= this->deadline.load();
}

void Load::pause(core::Duration duration)
{
    std::unique_lock lock(this->mutex);
    this->changed.wait_for(lock, duration);
}

void Load::runCaller(std::size_t index)
{
    Client client(this->settings.seed * 1000 + index);
    for (std::uint64_t i = 0; !this->isStopping(); ++i) {
        const bool isUnsafe = client.randomBelow(2) == 0;
        net::HttpRequest request;
        request.address =
                this->settings
                        .nodeAddresses[client.randomBelow(this->settings.nodeAddresses.size())];
        request.method = "POST";
        request.requestId = fmt::format("c{}-{}", index, i);
        request.target =
                fmt::format("/{}/{}?n={}", isUnsafe ? "book" : "lookup", request.requestId, i);
        request.body = "body of " + request.requestId;
        const std::string id = request.requestId;
        const std::string expectedBody = "answer to " + request.target + ": " + request.body.str();
        const net::HttpResult result = client.sendAndWait(std::move(request), callTimeout);
        const std::uint32_t status = statusOf(result);
        this->history.incrementCounter(fmt::format("{}_{}", isUnsafe ? "book" : "lookup", status));
        if (!isAllowedStatus(status))
            this->history.recordViolation(
                    fmt::format("call {} was answered with status {}", id, status));
        if (status == 200 && result.body != expectedBody)
            this->history.recordViolation(
                    fmt::format("call {} got the body '{}'", id, result.body));
        if (isUnsafe)
            this->history.recordCall({id, status});
        this->pause(callerDelay);
    }
}

// Reads one stream of events after the other. What arrives is the beginning of the text that an
// engine generates, and all of it if the stream ends as complete.
void Load::runStreamReader(std::size_t index)
{
    constexpr std::uint64_t readerSeedOffset = 700; // Keeps the random seeds distinct.
    Client client(this->settings.seed * 1000 + readerSeedOffset + index);
    for (std::uint64_t i = 0; !this->isStopping(); ++i) {
        const auto &nodeAddresses = this->settings.nodeAddresses;
        const std::string id = fmt::format("s{}-{}", index, i);
        const auto received = std::make_shared<std::string>();
        net::HttpRequest request;
        request.address = nodeAddresses[client.randomBelow(nodeAddresses.size())];
        request.method = "POST";
        request.target = "/chat/" + id;
        request.requestId = id;
        request.bodyPartType = "text/event-stream";
        request.onBodyPart = [received](std::string &&part) {
            *received += part;
            return true;
        };
        const net::HttpResult result = client.sendAndWait(std::move(request), streamTimeout);
        const std::uint32_t status = statusOf(result);
        this->history.incrementCounter(fmt::format("stream_{}", status));
        const std::string expected = expectedStream(id);
        const bool isWhole = status == 200 && result.isSelfDelimited;
        if (!isAllowedStatus(status))
            this->history.recordViolation(
                    fmt::format("stream {} was answered with status {}", id, status));
        if (!expected.starts_with(*received) || (isWhole && *received != expected))
            this->history.recordViolation(fmt::format("stream {} brought '{}'{}", id, *received,
                                                      isWhole ? " and ended as complete" : ""));
        this->pause(callerDelay);
    }
}

// Submits, reads and ends one batch after the other, as a trainer does.
struct Load::Trainer
{
    Load &load;
    Client client;
    ReceivedBatch batch = {};
    core::Time acceptedAt{};

    net::HttpResult sendRequest(const std::string &method, const std::string &target,
                                const std::string &body = {})
    {
        net::HttpRequest request;
        const auto &nodeAddresses = this->load.settings.nodeAddresses;
        request.address = nodeAddresses[this->client.randomBelow(nodeAddresses.size())];
        request.method = method;
        request.target = target;
        request.requestId = this->batch.id;
        request.body = body;
        request.contentType = "application/json";
        request.headers = {{"X-Wait-Ms", "300"}};
        return this->client.sendAndWait(std::move(request), batchTimeout);
    }

    bool reportIfPastDeadline(const char *expectedState)
    {
        if (!this->load.isPastDeadline())
            return false;
        this->load.history.recordViolation(
                fmt::format("batch {} was not {} in time; {} of {} results", this->batch.id,
                            expectedState, this->batch.results.size(), batchItemCount));
        return true;
    }

    bool submitBatch()
    {
        while (true) {
            const std::uint32_t status = statusOf(this->sendRequest(
                    "POST", "/samples/" + this->batch.id, live::makeBatch(this->batch.id)));
            this->load.history.incrementCounter(fmt::format("submit_{}", status));
            this->acceptedAt = runtime::now();
            if (status == 202)
                return true;
            if (!isAllowedStatus(status))
                this->load.history.recordViolation(fmt::format(
                        "batch {} was answered with status {}", this->batch.id, status));
            if (this->reportIfPastDeadline("accepted"))
                return false;
            this->load.pause(trainerDelay);
        }
    }

    bool readAllResults()
    {
        while (this->batch.results.size() < batchItemCount) {
            const bool isReread = this->client.randomBelow(rereadInterval) == 0;
            const std::uint64_t firstPosition = isReread ? 0 : this->batch.results.size();
            const net::HttpResult result = this->sendRequest(
                    "GET", fmt::format("/-/lots/{}?after={}", this->batch.id, firstPosition));
            const std::uint32_t status = statusOf(result);
            this->load.history.incrementCounter(fmt::format("read_{}", status));
            if (status == 200) {
                for (const std::string &violation :
                     mergeResults(this->batch, firstPosition, parseResults(result.body)))
                    this->load.history.recordViolation(violation);
            } else if (!isAllowedStatus(status) && runtime::now() > this->acceptedAt + settleTime) {
                this->load.history.recordViolation(fmt::format(
                        "reading batch {} was answered with status {}", this->batch.id, status));
            }
            if (this->batch.results.size() < batchItemCount
                && this->reportIfPastDeadline("complete"))
                return false;
            if (status != 200)
                this->load.pause(trainerDelay);
        }
        return true;
    }

    bool endBatch()
    {
        while (statusOf(this->sendRequest("DELETE", "/-/lots/" + this->batch.id)) != 200) {
            if (this->reportIfPastDeadline("ended"))
                return false;
            this->load.pause(trainerDelay);
        }
        return true;
    }

    bool runBatch(const std::string &id)
    {
        this->batch = {id, {}};
        if (!this->submitBatch() || !this->readAllResults())
            return false;
        for (const std::string &violation :
             checkBatch(this->batch, batchItemCount, this->load.newestVersion))
            this->load.history.recordViolation(violation);
        this->load.history.incrementCounter("batches_whole");
        return this->endBatch();
    }
};

void Load::runTrainer(std::size_t index)
{
    // Keeps the random seeds of trainers and callers distinct.
    constexpr std::uint64_t trainerSeedOffset = 500;
    Trainer trainer{*this, Client(this->settings.seed * 1000 + trainerSeedOffset + index)};
    for (std::uint64_t i = 0; !this->isStopping(); ++i) {
        if (!trainer.runBatch(fmt::format("t{}-{}", index, i)))
            return;
        this->pause(trainerDelay);
    }
}

} // namespace soak
