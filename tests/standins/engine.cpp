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
    std::string incarnation = fmt::format("{:08x}", std::random_device{}());
    std::map<Time, std::uint64_t> versions{{Time::min(), 1}};
    std::uint64_t highestFence = 0;
    std::map<std::string, std::shared_ptr<Stream>> streams; // Under way, by request.
    std::set<std::string> imports; // Requests whose KV cache was brought here.
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
    }

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

    Reply load()
    {
        const Time now = geraniumpulley::runtime::now();
        return {200,
                fmt::format(R"({{"in_flight":{},"version":{},"incarnation":"{}"}})",
                            this->streams.size(), this->versionAt(now), this->incarnation),
                {}};
    }

    Reply swap(const value &order)
    {
        const std::uint64_t fence = order.at("fence").as_number().to_uint64();
        if (fence < this->highestFence)
            return {409, R"({"refused":"old fence"})", {}};
        this->highestFence = fence;
        this->versions[geraniumpulley::runtime::now()] =
                order.at("version").as_number().to_uint64();
        return {};
    }
};

} // namespace

Service makeEngine()
{
    auto engine = std::make_shared<Engine>();
    return [engine](const DoorRequest &request) { return engine->serve(request); };
}

} // namespace standin
