// Boost 1.74's asio.hpp uses std::exchange without including <utility>.
#include <utility>

#include "routes.hpp"

#include <geraniumpulley/platform/client_messages.hpp>

#include <boost/asio.hpp>
#include <doctest/doctest.h>

#include <atomic>
#include <cstdlib>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace geraniumpulley;

// A seeded sender of hostile bytes against the parser and the router in one process. HOSTILE_SEEDS
// and HOSTILE_FIRST_SEED ask for other inputs.
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Random = std::mt19937_64;

core::DirectoryPointer makeDirectory()
{
    auto routing = std::make_shared<core::RoutingTable>();
    for (const auto &[prefix, kind] : {std::pair{"/lookup/", core::RouteKind::Repeatable},
                                       std::pair{"/chat/", core::RouteKind::Stream},
                                       std::pair{"/samples/", core::RouteKind::Batch}}) {
        core::Route route;
        route.host = "site.example";
        route.pathPrefix = prefix;
        route.kind = kind;
        routing->routes.push_back(route);
    }
    auto directory = std::make_shared<core::Directory>();
    directory->routing = routing;
    directory->targets = std::make_shared<core::TargetMap>();
    return directory;
}

// The listener, the router and duties that answer each request at once.
struct RoutedServer
{
    RoutedServer()
    {
        this->parts.directory.set(makeDirectory());
        this->parts.batchMemory.setLimit(16 * 1024 * 1024);
        net::HttpServerSettings settings;
        settings.maxBodyBytes = 64 * 1024;
        this->parts.callerServer =
                std::move(net::HttpServer::create(settings, [this](net::ServerRequest &&request) {
                              return entry::routeClientRequest(this->parts, std::move(request));
                          }).value());
        this->parts.calls.start("calls", [this](core::EntryEvent &&event) {
            if (const auto *received = std::get_if<core::EntryCallReceived>(&event))
                this->answer(*received);
        });
        this->parts.batches.start("batches", [this](core::BatchEvent &&event) {
            std::visit([this](const auto &content) { this->answerBatch(content); }, event);
        });
    }

    ~RoutedServer()
    {
        this->parts.callerServer->stop();
        this->parts.calls.stop();
        this->parts.batches.stop();
    }

    void answer(const core::EntryCallReceived &received)
    {
        const core::EntryCall &call = *received.call;
        bool isSendable = core::isSendableTarget(call.target)
                          && core::isSendable({"Host", call.host})
                          && core::isSendable({"X-Attempt-Id", call.requestId});
        for (const core::HttpHeader &header : call.headers)
            isSendable = isSendable && core::isSendable(header) && header.name != "Content-Length"
                         && header.name != "Transfer-Encoding";
        this->unsendable += isSendable ? 0 : 1;
        this->respond(received.reply);
    }

    template<typename Event>
    void answerBatch(const Event &event)
    {
        if constexpr (requires { event.reply; })
            this->respond(event.reply);
    }

    void respond(core::ReplyToken token)
    {
        net::ServerResponse response;
        response.token = token;
        response.body = "served";
        this->parts.callerServer->respond(std::move(response));
    }

    entry::Parts parts;
    std::atomic<int> unsendable = 0;
};

std::string pick(Random &random, const std::vector<std::string> &choices)
{
    return choices[random() % choices.size()];
}

std::string randomBytes(Random &random, std::size_t size)
{
    std::string bytes;
    for (std::size_t i = 0; i < size; ++i)
        bytes += static_cast<char>(random());
    return bytes;
}

std::string makeBody(Random &random)
{
    static const std::string item = R"({"id":"i","path":"/samples/r","headers":{"X-A":"b"}})";
    return pick(random,
                {"", "hello", std::string(5000, 'x'), randomBytes(random, random() % 200),
                 std::string(20'000, '['), R"({"requests":[]})", R"({"requests":[)" + item + "]}",
                 R"({"requests":[{"id":"\r\n","path":"\u0000"}]})",
                 R"({"requests":[)" + item + R"(],"step":1e999,"model":"\ud800"})"});
}

// A field is one that the node reads, with a value that it may not expect.
std::string makeField(Random &random)
{
    static const std::vector<std::string> names{
            "Connection",   "X-Deadline-Ms", "X-Wait-Ms",     "Last-Event-Id",
            "Resumes",      "X-Model",       "X-Length-Hint", "Authorization",
            "Expect",       "Upgrade",       "Keep-Alive",    "TE",
            "Trailer",      "X-Tenant",      "Range",         "X-Attempt-Id",
            "X-Request-Id", "Host",          "Content-Type",  "a"};
    static const std::vector<std::string> values{"close",
                                                 "keep-alive, X-Model",
                                                 "-1",
                                                 "18446744073709551616",
                                                 "1e308",
                                                 "nan",
                                                 "100-continue",
                                                 "h2c",
                                                 "Bearer ",
                                                 "Bearer x",
                                                 ",,,,",
                                                 " ",
                                                 "\t",
                                                 "%00",
                                                 std::string(9000, ','),
                                                 std::string(9000, 'x')};
    const std::string value =
            random() % 8 == 0 ? randomBytes(random, random() % 40) : pick(random, values);
    return pick(random, names) + pick(random, {": ", ":", " : ", ":\t"}) + value
           + pick(random, {"\r\n", "\r\n", "\r\n", "\n", "\r"});
}

std::string makeRequest(Random &random)
{
    static const std::vector<std::string> methods{"GET",     "POST",  "POST",    "DELETE",
                                                  "HEAD",    "TRACE", "CONNECT", "PUT",
                                                  "OPTIONS", "X",     "post",    ""};
    static const std::vector<std::string> targets{"/lookup/1",
                                                  "/chat/1",
                                                  "/samples/1",
                                                  "/samples/",
                                                  "/-/lots/x?after=1",
                                                  "/-/lots/x?after=%zz",
                                                  "/-/lots/?after=99999999999999999999",
                                                  "/-/lots/../x",
                                                  "/-/items/x?id=%",
                                                  "/-/items/x?id=a%20b",
                                                  "/-/progress/x",
                                                  "*",
                                                  "http://site.example/lookup/1",
                                                  "site.example:443",
                                                  "/lookup/%0d%0a",
                                                  "/lookup/a b"};
    const std::string body = makeBody(random);
    std::string request = pick(random, methods) + " " + pick(random, targets) + " "
                          + pick(random, {"HTTP/1.1", "HTTP/1.1", "HTTP/1.0", "HTTP/2.0", "X"})
                          + "\r\nHost: site.example\r\n";
    for (std::size_t i = random() % 6; i > 0; --i)
        request += makeField(random);
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    switch (random() % 6) {
    case 0:
        return request + chunked + "\r\n" + (body.empty() ? "" : "5\r\nhello\r\n") + "0\r\n\r\n";
    case 1:
        return request + length + chunked + "\r\n" + body;
    case 2:
        return request + "Transfer-Encoding: gzip\r\n\r\n" + body;
    default:
        return request + length + "\r\n" + body;
    }
}

void corrupt(Random &random, std::string &bytes)
{
    for (std::size_t i = random() % 4; i > 0 && !bytes.empty(); --i)
        bytes[random() % bytes.size()] = static_cast<char>(random());
    if (random() % 8 == 0)
        bytes.resize(random() % (bytes.size() + 1));
}

// Sends bytes in pieces and reads until the server closes the connection.
std::string sendAndRead(asio::io_context &io, std::uint16_t port, const std::string &bytes,
                        Random &random)
{
    Tcp::socket socket(io);
    boost::system::error_code error;
    socket.connect({asio::ip::make_address("127.0.0.1"), port}, error);
    socket.set_option(Tcp::no_delay(true), error);
    for (std::size_t sent = 0; sent < bytes.size() && !error;) {
        const std::size_t size = std::min<std::size_t>(1 + random() % 4096, bytes.size() - sent);
        sent += asio::write(socket, asio::buffer(bytes.data() + sent, size), error);
    }
    socket.shutdown(Tcp::socket::shutdown_send, error);
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), error);
    return answer;
}

std::uint64_t numberFrom(const char *variable, std::uint64_t fallback)
{
    const char *const text = std::getenv(variable);
    return text == nullptr ? fallback : std::stoull(text);
}

} // namespace

TEST_CASE("no seeded hostile request ends the process, throws, or is passed on malformed")
{
    constexpr std::uint64_t defaultSeeds = 4000;
    const std::uint64_t first = numberFrom("HOSTILE_FIRST_SEED", 1);
    const std::uint64_t seeds = numberFrom("HOSTILE_SEEDS", defaultSeeds);
    RoutedServer server;
    const std::uint16_t port = server.parts.callerServer->port();
    asio::io_context io;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
        Random random(seed);
        std::string bytes;
        for (std::size_t requests = 1 + random() % 2; requests > 0; --requests)
            bytes += makeRequest(random);
        if (random() % 2 == 0)
            corrupt(random, bytes);
        const std::string answer = sendAndRead(io, port, bytes, random);
        CAPTURE(seed);
        CHECK((answer.empty() || answer.starts_with("HTTP/1.1 ")));
        CHECK(server.parts.callerServer->failureCount() == 0);
        REQUIRE(server.unsendable == 0);
    }
    Random random(0);
    const std::string answer = sendAndRead(
            io, port, "GET /lookup/1 HTTP/1.1\r\nHost: site.example\r\nConnection: close\r\n\r\n",
            random);
    CHECK(answer.ends_with("served"));
}

// Guards against a head that is read differently when it comes in pieces.
TEST_CASE("a head that is split at each byte is read as a whole one")
{
    RoutedServer server;
    const std::uint16_t port = server.parts.callerServer->port();
    const std::string request = "POST /lookup/1 HTTP/1.1\r\nHost: site.example\r\n"
                                "X-Attempt-Id: r\r\nContent-Length: 5\r\n"
                                "Connection: close\r\n\r\nhello";
    asio::io_context io;
    for (std::size_t split = 1; split < request.size(); ++split) {
        Tcp::socket socket(io);
        socket.connect({asio::ip::make_address("127.0.0.1"), port});
        socket.set_option(Tcp::no_delay(true));
        asio::write(socket, asio::buffer(request.data(), split));
        asio::write(socket, asio::buffer(request.data() + split, request.size() - split));
        std::string answer;
        boost::system::error_code error;
        asio::read(socket, asio::dynamic_buffer(answer), error);
        CAPTURE(split);
        CHECK(answer.starts_with("HTTP/1.1 200"));
        CHECK(answer.ends_with("served"));
    }
}
