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
using geraniumpulley::net::DoorRequest;
using web::json::value;

constexpr Duration timePerToken = std::chrono::milliseconds(2);
constexpr Duration prefillPerToken = std::chrono::microseconds(50);
constexpr std::uint64_t tokensPerChunk = 8;

// A load of weights under way, or the last one.
struct WeightLoad
{
    Time start{};
    Time end{};
};

Duration millisecondsOf(const value &order, const char *key, Duration fallback)
{
    if (!order.has_field(key))
        return fallback;
    return std::chrono::milliseconds(order.at(key).as_number().to_uint64());
}

struct Stream
{
    std::string request;
    std::uint64_t made = 0; // Tokens so far.
    std::uint64_t length = 0;
    bool cancelled = false;
};

// A model engine: tokens take time, and a weight swap changes the version of those that follow.
struct Engine
{
    Time started = geraniumpulley::runtime::now();
    Duration loadTime = std::chrono::milliseconds(200);
    Duration reportLag{};
    std::uint64_t failingLoads = 0; // Of the next ones; they fail half-way.
    bool checksFencing = false;
    std::vector<WeightLoad> loads;
    std::vector<value> orders; // What `/weights` was asked, with what came of it.
    std::string incarnation = fmt::format("{:08x}", std::random_device{}());
    std::map<Time, std::uint64_t> versions{{Time::min(), 1}};
    std::uint64_t highestFence = 0;
    std::map<std::string, std::shared_ptr<Stream>> streams; // Under way, by request.
    std::set<std::string> imports; // Requests whose KV cache was brought here.
    std::map<Time, std::size_t> inFlight{{Time::min(), 0}}; // For reports that lag.
    std::vector<value> ledger; // Which version made which tokens of which request.

    Reply serve(const DoorRequest &request)
    {
        const std::string path = pathOf(request);
        if (path == "/generate")
            return this->generate(value::parse(request.body));
        if (path == "/cancel")
            return this->cancel(value::parse(request.body));
        if (path == "/kv/import")
            return this->importCache(value::parse(request.body));
        if (path == "/load")
            return this->load();
        if (path == "/weights")
            return this->swap(value::parse(request.body));
        if (path == "/_engine")
            return this->configure(value::parse(request.body));
        if (path == "/_orders")
            return {200, value::array(this->orders).serialize(), {}};
        if (path == "/_ledger")
            return {200, value::array(this->ledger).serialize(), {}};
        return {404, "{}", {}};
    }

    std::uint64_t versionAt(Time time) const
    {
        return std::prev(this->versions.upper_bound(time))->second;
    }

    // Streams in real time; the tokens of a resumed request follow those that it brings along.
    Reply generate(const value &order)
    {
        auto stream = std::make_shared<Stream>();
        stream->request = order.at("request").as_string();
        const std::uint64_t limit = order.at("max_tokens").as_number().to_uint64();
        stream->length = 1 + std::hash<std::string>{}(stream->request) % limit;
        if (order.has_field("resume"))
            stream->made = order.at("resume").at("tokens").as_number().to_uint64();
        const bool hasCache = order.has_field("kv") && this->imports.count(stream->request) != 0;
        this->streams[stream->request] = stream;
        this->noteInFlight();
        const Duration prefill = prefillPerToken * (hasCache ? 0 : stream->made);
        return {200, "", prefill, [this, stream] { return this->continueStream(stream); }};
    }

    Reply continueStream(const std::shared_ptr<Stream> &stream)
    {
        if (stream->cancelled) {
            Reply reply;
            reply.cut = true;
            return reply;
        }
        if (stream->made >= stream->length) {
            this->forget(stream);
            return {200, fmt::format("{{\"end\":{}}}\n", stream->made), {}};
        }
        const std::uint64_t first = stream->made;
        stream->made = std::min(stream->length, first + tokensPerChunk);
        value part = this->chunk(geraniumpulley::runtime::now(), first, stream->made);
        value entry = part;
        entry["request"] = value::string(stream->request);
        entry["first"] = value::number(first);
        this->ledger.push_back(std::move(entry));
        return {200, part.serialize() + "\n", timePerToken * (stream->made - first),
                [this, stream] { return this->continueStream(stream); }};
    }

    void forget(const std::shared_ptr<Stream> &stream)
    {
        const auto position = this->streams.find(stream->request);
        if (position != this->streams.end() && position->second == stream)
            this->streams.erase(position);
        this->noteInFlight();
    }

    void noteInFlight() { this->inFlight[geraniumpulley::runtime::now()] = this->streams.size(); }

    // With "export" the answer carries the KV cache, which `/kv/import` of another engine takes.
    Reply cancel(const value &order)
    {
        const std::string request = order.at("request").as_string();
        const auto position = this->streams.find(request);
        if (position == this->streams.end())
            return {404, R"({"error":"no such request"})", {}};
        position->second->cancelled = true;
        const std::uint64_t made = position->second->made;
        this->streams.erase(position);
        this->noteInFlight();
        return {200, fmt::format(R"({{"request":"{}","tokens":{}}})", request, made), {}};
    }

    Reply importCache(const value &cache)
    {
        this->imports.insert(cache.at("request").as_string());
        return {};
    }

    value chunk(Time time, std::uint64_t first, std::uint64_t last) const
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

    // Sets how the engine behaves from now on; keys that are not given keep their value.
    Reply configure(const value &order)
    {
        this->loadTime = millisecondsOf(order, "load_ms", this->loadTime);
        this->reportLag = millisecondsOf(order, "lag_ms", this->reportLag);
        if (order.has_field("fail_loads"))
            this->failingLoads = order.at("fail_loads").as_number().to_uint64();
        if (order.has_field("checks_fencing"))
            this->checksFencing = order.at("checks_fencing").as_bool();
        if (order.has_field("version"))
            this->versions[geraniumpulley::runtime::now()] =
                    order.at("version").as_number().to_uint64();
        return {};
    }

    bool loadsAt(Time time) const
    {
        return std::any_of(this->loads.begin(), this->loads.end(), [&](const WeightLoad &load) {
            return load.start <= time && time < load.end;
        });
    }

    // The report shows the engine as it was `reportLag` ago.
    Reply load()
    {
        const Time now = geraniumpulley::runtime::now();
        const Time seen = std::max(this->started, now - this->reportLag);
        const auto shown = std::prev(this->inFlight.upper_bound(seen));
        const std::size_t count = shown->second;
        using std::chrono::milliseconds;
        return {200,
                fmt::format(R"({{"in_flight":{},"version":{},"incarnation":"{}","loading":{},)"
                            R"("sequence":{},"age_ms":{}}})",
                            count, this->versionAt(seen), this->incarnation, this->loadsAt(seen),
                            (seen - this->started).count(),
                            std::chrono::duration_cast<milliseconds>(now - seen).count()),
                {}};
    }

    // Does as it is told, also when the order goes back a version: the ledger shows it.
    Reply swap(const value &order)
    {
        const Time now = geraniumpulley::runtime::now();
        const std::uint64_t fence = order.at("fence").as_number().to_uint64();
        const std::uint64_t version = order.at("version").as_number().to_uint64();
        value entry = order;
        entry["before"] = value::number(this->versionAt(now));
        entry["while_loading"] = value::boolean(this->loadsAt(now));
        entry["old_fence"] = value::boolean(fence < this->highestFence);
        this->orders.push_back(std::move(entry));
        if (this->checksFencing && fence < this->highestFence)
            return {409, R"({"refused":"old fence"})", {}};
        this->highestFence = std::max(this->highestFence, fence);
        if (this->loadsAt(now))
            return {409, R"({"refused":"loading"})", {}};
        if (this->failingLoads > 0) {
            --this->failingLoads;
            this->loads.push_back({now, now + this->loadTime / 2});
            return {500, R"({"error":"the load failed half-way"})", this->loadTime / 2};
        }
        this->loads.push_back({now, now + this->loadTime});
        this->versions[now + this->loadTime] = version;
        return {200, fmt::format(R"({{"version":{}}})", version), this->loadTime};
    }
};

} // namespace

Service makeEngine()
{
    auto engine = std::make_shared<Engine>();
    return [engine](const DoorRequest &request) { return engine->serve(request); };
}

} // namespace standin
