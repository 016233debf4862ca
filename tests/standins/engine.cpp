#include "standin.hpp"

#include <geraniumpulley/runtime/clock.hpp>

#include <cpprest/json.h>
#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace standin {
namespace {

using geraniumpulley::core::Duration;
using geraniumpulley::core::Time;
using geraniumpulley::net::ServerRequest;
using web::json::value;

constexpr Duration timePerToken = std::chrono::milliseconds(2);
constexpr Duration prefillTimePerToken = std::chrono::microseconds(50);
constexpr std::uint64_t tokensPerChunk = 8;

// A period in which the engine loads weights.
struct WeightLoad
{
    Time start{};
    Time end{};
};

Duration millisecondsOf(const value &settings, const char *key, Duration fallback)
{
    if (!settings.has_field(key))
        return fallback;
    return std::chrono::milliseconds(settings.at(key).as_number().to_uint64());
}

struct Stream
{
    std::string key; // The id of the request and the number of the attempt.
    std::string request;
    std::uint64_t generatedTokens = 0; // Includes the tokens that a resumed request had before.
    std::uint64_t totalTokens = 0;
    bool cancelled = false;
};

// A model engine. Tokens are generated in real time, and a weight swap changes the version of the
// tokens that follow it.
struct Engine
{
    Time startedAt = geraniumpulley::runtime::now();
    Duration loadTime = std::chrono::milliseconds(200);
    Duration reportLag{};
    // How many of the next loads fail, each after half of the load time.
    std::uint64_t failingLoadCount = 0;
    bool checksFencing = false;
    std::vector<WeightLoad> weightLoads;
    std::vector<value> weightOrders; // Bodies of `/weights` with the state at their arrival.
    std::string incarnation = fmt::format("{:08x}", std::random_device{}());
    std::map<Time, std::uint64_t> versions{{Time::min(), 1}};
    std::uint64_t highestFencingToken = 0;
    std::map<std::string, std::shared_ptr<Stream>> streams; // Streams in progress, by key.
    std::set<std::string> importedCaches; // Requests whose KV cache was imported.
    // Number of streams over time, for delayed reports.
    std::map<Time, std::size_t> inFlight{{Time::min(), 0}};
    std::vector<value> generatedChunks; // Chunks with request, position and weight version.

    Reply serve(const ServerRequest &request)
    {
        const std::string path = requestPath(request);
        if (path == "/generate")
            return this->generate(value::parse(request.body));
        if (path == "/cancel")
            return this->cancel(value::parse(request.body));
        if (path == "/kv/import")
            return this->importCache(value::parse(request.body));
        if (path == "/load")
            return this->reportLoad();
        if (path == "/weights")
            return this->swapWeights(value::parse(request.body));
        if (path == "/_engine")
            return this->configure(value::parse(request.body));
        if (path == "/_orders")
            return {200, value::array(this->weightOrders).serialize(), {}};
        if (path == "/_ledger")
            return {200, value::array(this->generatedChunks).serialize(), {}};
        return {404, "{}", {}};
    }

    std::uint64_t versionAt(Time time) const
    {
        return std::prev(this->versions.upper_bound(time))->second;
    }

    static std::string keyOf(const value &body)
    {
        const std::uint64_t attempt =
                body.has_field("attempt") ? body.at("attempt").as_number().to_uint64() : 0;
        return fmt::format("{}-{}", body.at("request").as_string(), attempt);
    }

    // Streams tokens in real time. A resumed request continues after the tokens that it declares,
    // which take prefill time unless their KV cache was imported.
    Reply generate(const value &body)
    {
        auto stream = std::make_shared<Stream>();
        stream->key = keyOf(body);
        stream->request = body.at("request").as_string();
        const std::uint64_t limit = body.at("max_tokens").as_number().to_uint64();
        stream->totalTokens = 1 + std::hash<std::string>{}(stream->request) % limit;
        if (body.has_field("resume"))
            stream->generatedTokens = body.at("resume").at("tokens").as_number().to_uint64();
        const bool hasCache =
                body.has_field("kv") && this->importedCaches.count(stream->request) != 0;
        this->streams[stream->key] = stream;
        this->recordInFlight();
        const Duration prefill = prefillTimePerToken * (hasCache ? 0 : stream->generatedTokens);
        return {200, "", prefill, [this, stream] { return this->continueStream(stream); }};
    }

    Reply continueStream(const std::shared_ptr<Stream> &stream)
    {
        if (stream->cancelled) {
            Reply reply;
            reply.abortsConnection = true;
            return reply;
        }
        if (stream->generatedTokens >= stream->totalTokens) {
            this->removeStream(stream);
            return {200, fmt::format("{{\"end\":{}}}\n", stream->generatedTokens), {}};
        }
        const std::uint64_t first = stream->generatedTokens;
        stream->generatedTokens = std::min(stream->totalTokens, first + tokensPerChunk);
        value chunk =
                this->makeChunk(geraniumpulley::runtime::now(), first, stream->generatedTokens);
        value entry = chunk;
        entry["request"] = value::string(stream->request);
        entry["first"] = value::number(first);
        this->generatedChunks.push_back(std::move(entry));
        return {200, chunk.serialize() + "\n", timePerToken * (stream->generatedTokens - first),
                [this, stream] { return this->continueStream(stream); }};
    }

    void removeStream(const std::shared_ptr<Stream> &stream)
    {
        const auto position = this->streams.find(stream->key);
        if (position != this->streams.end() && position->second == stream)
            this->streams.erase(position);
        this->recordInFlight();
    }

    void recordInFlight() { this->inFlight[geraniumpulley::runtime::now()] = this->streams.size(); }

    // The answer represents the exported KV cache of a request with "export"; `/kv/import` of
    // another engine accepts it.
    Reply cancel(const value &body)
    {
        const std::string request = body.at("request").as_string();
        const auto position = this->streams.find(keyOf(body));
        if (position == this->streams.end())
            return {404, R"({"error":"no such request"})", {}};
        position->second->cancelled = true;
        const std::uint64_t generatedTokens = position->second->generatedTokens;
        this->streams.erase(position);
        this->recordInFlight();
        return {200,
                fmt::format(R"({{"request":"{}","tokens":{}}})", request, generatedTokens),
                {}};
    }

    Reply importCache(const value &cache)
    {
        this->importedCaches.insert(cache.at("request").as_string());
        return {};
    }

    value makeChunk(Time time, std::uint64_t first, std::uint64_t last) const
    {
        std::vector<value> tokens;
        for (std::uint64_t i = first; i < last; ++i)
            tokens.push_back(value::string(fmt::format("t{} ", i)));
        value encoded = value::object();
        encoded["version"] = value::number(this->versionAt(time));
        encoded["incarnation"] = value::string(this->incarnation);
        encoded["tokens"] = value::array(std::move(tokens));
        return encoded;
    }

    // Changes the behaviour of the engine. Settings whose key is absent stay as they are.
    Reply configure(const value &settings)
    {
        this->loadTime = millisecondsOf(settings, "load_ms", this->loadTime);
        this->reportLag = millisecondsOf(settings, "lag_ms", this->reportLag);
        if (settings.has_field("fail_loads"))
            this->failingLoadCount = settings.at("fail_loads").as_number().to_uint64();
        if (settings.has_field("checks_fencing"))
            this->checksFencing = settings.at("checks_fencing").as_bool();
        if (settings.has_field("version"))
            this->versions[geraniumpulley::runtime::now()] =
                    settings.at("version").as_number().to_uint64();
        return {};
    }

    bool isLoadingAt(Time time) const
    {
        return std::any_of(
                this->weightLoads.begin(), this->weightLoads.end(),
                [&](const WeightLoad &load) { return load.start <= time && time < load.end; });
    }

    // Reports the state that the engine had `reportLag` ago.
    Reply reportLoad()
    {
        const Time now = geraniumpulley::runtime::now();
        const Time reportedAt = std::max(this->startedAt, now - this->reportLag);
        const auto position = std::prev(this->inFlight.upper_bound(reportedAt));
        const std::size_t count = position->second;
        using std::chrono::milliseconds;
        return {200,
                fmt::format(R"({{"in_flight":{},"version":{},"incarnation":"{}","loading":{},)"
                            R"("sequence":{},"age_ms":{}}})",
                            count, this->versionAt(reportedAt), this->incarnation,
                            this->isLoadingAt(reportedAt), (reportedAt - this->startedAt).count(),
                            std::chrono::duration_cast<milliseconds>(now - reportedAt).count()),
                {}};
    }

    // Accepts every order that is not refused below, even a downgrade. The recorded orders let
    // tests detect a downgrade.
    Reply swapWeights(const value &order)
    {
        const Time now = geraniumpulley::runtime::now();
        const std::uint64_t fencingToken = order.at("fence").as_number().to_uint64();
        const std::uint64_t version = order.at("version").as_number().to_uint64();
        value entry = order;
        entry["before"] = value::number(this->versionAt(now));
        entry["while_loading"] = value::boolean(this->isLoadingAt(now));
        entry["old_fence"] = value::boolean(fencingToken < this->highestFencingToken);
        this->weightOrders.push_back(std::move(entry));
        if (this->checksFencing && fencingToken < this->highestFencingToken)
            return {409, R"({"refused":"old fence"})", {}};
        this->highestFencingToken = std::max(this->highestFencingToken, fencingToken);
        if (this->isLoadingAt(now))
            return {409, R"({"refused":"loading"})", {}};
        if (this->failingLoadCount > 0) {
            --this->failingLoadCount;
            this->weightLoads.push_back({now, now + this->loadTime / 2});
            return {500, R"({"error":"the load failed half-way"})", this->loadTime / 2};
        }
        this->weightLoads.push_back({now, now + this->loadTime});
        this->versions[now + this->loadTime] = version;
        return {200, fmt::format(R"({{"version":{}}})", version), this->loadTime};
    }
};

} // namespace

Service makeEngine()
{
    auto engine = std::make_shared<Engine>();
    return [engine](const ServerRequest &request) { return engine->serve(request); };
}

} // namespace standin
