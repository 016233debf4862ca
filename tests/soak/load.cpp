#include "load.hpp"

#include "../live/platform_fleet.hpp"

#include <geraniumpulley/net/http_caller.hpp>
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
constexpr milliseconds callLimit(3000); // Above the routes' time-out of 2 s.
constexpr milliseconds batchLimit(7000); // Above the nodes' patience with the store.
constexpr milliseconds pauseOfCaller(10);
constexpr milliseconds pauseOfTrainer(50);
// After the 202 a node may not know the batch yet; from the users' bounds (settle_ms).
constexpr milliseconds settleTime(1000);
constexpr std::size_t itemsOfBatch = 6;
constexpr std::uint32_t rereadShare = 4; // One read in so many begins at the first position.

struct Client
{
    explicit Client(std::uint64_t seed)
        : random(seed), caller(std::move(net::HttpCaller::create({}).value()))
    {
    }

    /// Sends one request on a kept connection and waits for its end; it is never repeated.
    net::HttpResult ask(net::HttpRequest &&request, core::Duration limit)
    {
        std::promise<net::HttpResult> done;
        request.host = host;
        request.idHeader = "X-Attempt-Id";
        request.reuse = true;
        request.deadline = runtime::now() + limit;
        request.done = [&done](net::HttpResult &&result) { done.set_value(std::move(result)); };
        this->caller->send(std::move(request));
        return done.get_future().get();
    }

    std::uint64_t below(std::uint64_t limit) { return this->random() % limit; }

    std::mt19937_64 random;
    std::unique_ptr<net::HttpCaller> caller;
};

std::uint32_t statusOf(const net::HttpResult &result)
{
    return result.failure == net::SendFailure::None ? result.status : 0;
}

bool isAllowed(std::uint32_t status)
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

Load::Load(LoadSettings chosen, Ledger &ledger) : settings(std::move(chosen)), ledger(ledger)
{
    for (std::size_t i = 0; i < this->settings.callers; ++i)
        this->threads.emplace_back([this, i] { this->runCaller(i); });
    for (std::size_t i = 0; i < this->settings.trainers; ++i)
        this->threads.emplace_back([this, i] { this->runTrainer(i); });
}

Load::~Load()
{
    this->finish(runtime::now());
}

void Load::finish(core::Time limit)
{
    this->finishBy = limit;
    this->stopping = true;
    this->changed.notify_all();
    for (std::thread &thread : this->threads)
        thread.join();
    this->threads.clear();
}

bool Load::isLate() const
{
    return runtime::now() >= this->finishBy.load();
}

void Load::pause(core::Duration time)
{
    std::unique_lock lock(this->mutex);
    this->changed.wait_for(lock, time);
}

void Load::runCaller(std::size_t index)
{
    Client client(this->settings.seed * 1000 + index);
    for (std::uint64_t i = 0; !this->isStopping(); ++i) {
        const bool isUnsafe = client.below(2) == 0;
        net::HttpRequest request;
        request.address = this->settings.doors[client.below(this->settings.doors.size())];
        request.method = "POST";
        request.requestId = fmt::format("c{}-{}", index, i);
        request.target =
                fmt::format("/{}/{}?n={}", isUnsafe ? "book" : "lookup", request.requestId, i);
        request.body = "body of " + request.requestId;
        const std::string id = request.requestId;
        const std::string whole = "answer to " + request.target + ": " + request.body;
        const net::HttpResult result = client.ask(std::move(request), callLimit);
        const std::uint32_t status = statusOf(result);
        this->ledger.count(fmt::format("{}_{}", isUnsafe ? "book" : "lookup", status));
        if (!isAllowed(status))
            this->ledger.violate(fmt::format("call {} was answered {}", id, status));
        if (status == 200 && result.body != whole)
            this->ledger.violate(fmt::format("call {} got '{}'", id, result.body));
        if (isUnsafe)
            this->ledger.note({id, status});
        this->pause(pauseOfCaller);
    }
}

// One batch after the other, as a trainer submits, reads and ends them.
struct Load::Trainer
{
    Load &load;
    Client client;
    ReadBatch batch = {};
    core::Time acceptedAt{};

    net::HttpResult ask(const std::string &method, const std::string &target,
                        const std::string &body = {})
    {
        net::HttpRequest request;
        const auto &doors = this->load.settings.doors;
        request.address = doors[this->client.below(doors.size())];
        request.method = method;
        request.target = target;
        request.requestId = this->batch.id;
        request.body = body;
        request.contentType = "application/json";
        request.headers = {{"X-Wait-Ms", "300"}};
        return this->client.ask(std::move(request), batchLimit);
    }

    bool giveUp(const char *doing)
    {
        if (!this->load.isLate())
            return false;
        this->load.ledger.violate(fmt::format("batch {} was not {} in time; {} of {} results",
                                              this->batch.id, doing, this->batch.results.size(),
                                              itemsOfBatch));
        return true;
    }

    bool submit()
    {
        while (true) {
            const std::uint32_t status = statusOf(this->ask("POST", "/samples/" + this->batch.id,
                                                            live::batchText(this->batch.id)));
            this->load.ledger.count(fmt::format("submit_{}", status));
            this->acceptedAt = runtime::now();
            if (status == 202)
                return true;
            if (!isAllowed(status))
                this->load.ledger.violate(
                        fmt::format("batch {} was answered {}", this->batch.id, status));
            if (this->giveUp("accepted"))
                return false;
            this->load.pause(pauseOfTrainer);
        }
    }

    bool readAll()
    {
        while (this->batch.results.size() < itemsOfBatch) {
            const bool rereads = this->client.below(rereadShare) == 0;
            const std::uint64_t after = rereads ? 0 : this->batch.results.size();
            const net::HttpResult result =
                    this->ask("GET", fmt::format("/-/lots/{}?after={}", this->batch.id, after));
            const std::uint32_t status = statusOf(result);
            this->load.ledger.count(fmt::format("read_{}", status));
            if (status == 200) {
                for (const std::string &wrong :
                     takeResults(this->batch, after, parseResults(result.body)))
                    this->load.ledger.violate(wrong);
            } else if (!isAllowed(status) && runtime::now() > this->acceptedAt + settleTime) {
                this->load.ledger.violate(
                        fmt::format("a read of batch {} was answered {}", this->batch.id, status));
            }
            if (this->batch.results.size() < itemsOfBatch && this->giveUp("whole"))
                return false;
            if (status != 200)
                this->load.pause(pauseOfTrainer);
        }
        return true;
    }

    bool end()
    {
        while (statusOf(this->ask("DELETE", "/-/lots/" + this->batch.id)) != 200) {
            if (this->giveUp("ended"))
                return false;
            this->load.pause(pauseOfTrainer);
        }
        return true;
    }

    bool runOne(const std::string &id)
    {
        this->batch = {id, {}};
        if (!this->submit() || !this->readAll())
            return false;
        for (const std::string &wrong :
             checkBatch(this->batch, itemsOfBatch, this->load.newestVersion))
            this->load.ledger.violate(wrong);
        this->load.ledger.count("batches_whole");
        return this->end();
    }
};

void Load::runTrainer(std::size_t index)
{
    constexpr std::uint64_t firstTrainer = 500; // Keeps the seeds of trainers and callers apart.
    Trainer trainer{*this, Client(this->settings.seed * 1000 + firstTrainer + index)};
    for (std::uint64_t i = 0; !this->isStopping(); ++i) {
        if (!trainer.runOne(fmt::format("t{}-{}", index, i)))
            return;
        this->pause(pauseOfTrainer);
    }
}

} // namespace soak
