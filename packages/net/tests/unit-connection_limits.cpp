// Boost 1.74's asio.hpp uses std::exchange without including <utility>.
#include <utility>

#include <geraniumpulley/net/http_server.hpp>

#include <boost/asio.hpp>
#include <doctest/doctest.h>

#include <atomic>
#include <list>
#include <string>
#include <thread>

#include <sys/resource.h>

using namespace geraniumpulley;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

// A server that answers each request with "ok" at once, except to "/held", which it never answers.
struct LimitedServer
{
    explicit LimitedServer(const net::HttpServerSettings &settings)
    {
        this->server = std::move(net::HttpServer::create(
                                         settings,
                                         [this](net::ServerRequest &&request) {
                                             this->lastToken = request.token;
                                             if (request.target == "/held")
                                                 return true;
                                             net::ServerResponse response;
                                             response.token = request.token;
                                             response.body = "ok";
                                             this->server->respond(std::move(response));
                                             return true;
                                         },
                                         [this](core::ReplyToken) { ++this->disconnects; })
                                         .value());
    }

    Tcp::socket connect(const std::string &bytes)
    {
        Tcp::socket socket(this->io);
        socket.connect({asio::ip::make_address("127.0.0.1"), this->server->port()});
        boost::system::error_code ignored;
        asio::write(socket, asio::buffer(bytes), ignored);
        return socket;
    }

    // Reads until the server closes the connection.
    static std::string readAll(Tcp::socket &socket)
    {
        std::string bytes;
        boost::system::error_code error;
        asio::read(socket, asio::dynamic_buffer(bytes), error);
        return bytes;
    }

    std::string request()
    {
        Tcp::socket socket = this->connect("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
        return readAll(socket);
    }

    asio::io_context io;
    std::atomic<core::ReplyToken> lastToken{};
    std::atomic<int> disconnects = 0;
    std::unique_ptr<net::HttpServer> server;
};

const std::string unfinished = "POST / HTTP/1.1\r\nContent-Length: 100\r\n\r\nx";
const std::string held = "GET /held HTTP/1.1\r\n\r\n";

} // namespace

TEST_CASE("a new connection takes the place of one whose request does not come")
{
    net::HttpServerSettings settings;
    settings.maxConnections = 4;
    for (const std::string &beginning : {unfinished, std::string("POST / HT"), std::string()}) {
        CAPTURE(beginning);
        LimitedServer server(settings);
        std::list<Tcp::socket> crowd;
        for (int i = 0; i < 12; ++i)
            crowd.push_back(server.connect(beginning));
        CHECK(server.request().ends_with("ok"));
        CHECK(server.server->displacedConnectionCount() >= 9);
        CHECK(server.server->refusedConnectionCount() == 0);
    }
}

TEST_CASE("a request that gives way learns that it has not run")
{
    net::HttpServerSettings settings;
    settings.maxConnections = 1;
    LimitedServer server(settings);
    Tcp::socket first = server.connect(unfinished);
    CHECK(server.request().ends_with("ok"));
    const std::string answer = LimitedServer::readAll(first);
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(answer.find("Retry-After: ") != std::string::npos);
}

TEST_CASE("a refusal has a body, unless it answers HEAD")
{
    const std::string tooLarge = " / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n";
    const std::string answered = " / HTTP/1.1\r\n\r\n";
    LimitedServer server({});
    const auto answerTo = [&server](const std::string &bytes) {
        Tcp::socket socket = server.connect(bytes);
        return LimitedServer::readAll(socket);
    };
    CHECK(answerTo("HEAD" + tooLarge).ends_with("\r\n\r\n"));
    CHECK(answerTo("HEAD" + answered + "POST" + tooLarge).ends_with("}"));
}

TEST_CASE("a request in service keeps its connection")
{
    net::HttpServerSettings settings;
    settings.maxConnections = 1;
    LimitedServer server(settings);
    Tcp::socket first = server.connect(held);
    while (server.lastToken.load() == core::ReplyToken{})
        std::this_thread::yield();
    CHECK(server.request().empty());
    CHECK(server.server->refusedConnectionCount() == 1);
    CHECK(server.server->displacedConnectionCount() == 0);
    CHECK(server.disconnects == 0);
}

TEST_CASE("heads count by what their fields take, and give way to an ordinary request")
{
    net::HttpServerSettings settings;
    settings.maxRequestBytes = 2 * 1024 * 1024;
    LimitedServer server(settings);
    std::string head = "POST / HTTP/1.1\r\nContent-Length: 100\r\n";
    while (head.size() < 16'000)
        head += "a:\r\n";
    std::list<Tcp::socket> crowd;
    for (int i = 0; i < 12; ++i) {
        crowd.push_back(server.connect(head + "\r\n"));
        CHECK(server.request().ends_with("ok"));
    }
    CHECK(server.server->memoryRefusalCount() > 0);
    CHECK(server.server->memoryRefusalCount() < 12);
}

// Guards against parts whose bookkeeping takes more than their bytes. All parts are queued before
// the first one is written.
TEST_CASE("the memory of unread parts counts the parts themselves")
{
    constexpr int parts = 700;
    net::HttpServerSettings settings;
    settings.maxUnreadBytes = 64 * 1024;
    std::atomic<int> disconnects = 0;
    std::unique_ptr<net::HttpServer> server;
    server = std::move(net::HttpServer::create(
                               settings,
                               [&server](net::ServerRequest &&request) {
                                   for (int i = 0; i < parts; ++i) {
                                       net::ServerResponse part;
                                       part.token = request.token;
                                       part.part = i == 0 ? net::ResponsePart::First
                                                          : net::ResponsePart::More;
                                       part.body = "x";
                                       server->respond(std::move(part));
                                   }
                                   return true;
                               },
                               [&disconnects](core::ReplyToken) { ++disconnects; })
                               .value());
    asio::io_context io;
    Tcp::socket reader(io);
    reader.connect({asio::ip::make_address("127.0.0.1"), server->port()});
    asio::write(reader, asio::buffer(held));
    LimitedServer::readAll(reader);
    // The connection is closed before the callback runs.
    server->stop();
    CHECK(server->memoryRefusalCount() == 1);
    CHECK(disconnects == 1);
}

// Guards against a thread that does nothing but fail to accept.
TEST_CASE("without descriptors the server accepts again later")
{
    LimitedServer server({});
    rlimit former{};
    getrlimit(RLIMIT_NOFILE, &former);
    std::list<Tcp::socket> crowd;
    crowd.push_back(server.connect(unfinished));
    CHECK(server.request().ends_with("ok"));
    // The descriptor of the next client is the last one.
    Tcp::socket probe(server.io);
    probe.open(Tcp::v4());
    const auto next = static_cast<rlim_t>(probe.native_handle()) + 1;
    const rlimit lowered{next, former.rlim_max};
    setrlimit(RLIMIT_NOFILE, &lowered);
    probe.connect({asio::ip::make_address("127.0.0.1"), server.server->port()});
    while (server.server->acceptFailureCount() < 3)
        std::this_thread::yield();
    setrlimit(RLIMIT_NOFILE, &former);
    CHECK(server.request().ends_with("ok"));
}
