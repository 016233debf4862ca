#include <geraniumpulley/net/http_caller.hpp>

#include <geraniumpulley/net/detail/event_loop.hpp>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <utility>

namespace geraniumpulley::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

constexpr const char *requestIdHeader = "X-Request-Id";
constexpr std::size_t maxPartBytes = 1024 * 1024;

// One request on its own connection; its callbacks hold it alive.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(asio::io_context &io, HttpRequest request, std::size_t maxBodyBytes)
        : stream(io), order(std::move(request))
    {
        if (this->order.onPart)
            this->parser.body_limit(boost::none);
        else
            this->parser.body_limit(maxBodyBytes);
    }

    void start()
    {
        const auto endpoint = detail::parseAddress(this->order.address);
        if (!endpoint)
            return this->fail(SendFailure::NotSent);
        this->stream.expires_at(this->order.deadline);
        this->stream.async_connect(endpoint.value(),
                                   [self = this->shared_from_this()](beast::error_code error) {
                                       self->onConnected(error);
                                   });
    }

private:
    void onConnected(beast::error_code error)
    {
        if (error)
            return this->fail(SendFailure::NotSent);
        this->request.version(11);
        this->request.method_string(this->order.method);
        this->request.target(this->order.target);
        this->request.set(http::field::host, this->order.address);
        this->request.set(http::field::connection, "close");
        this->request.set(requestIdHeader, this->order.requestId);
        if (!this->order.contentType.empty())
            this->request.set(http::field::content_type, this->order.contentType);
        this->request.body() = std::move(this->order.body);
        this->request.prepare_payload();
        http::async_write(
                this->stream, this->request,
                [self = this->shared_from_this()](beast::error_code writeError, std::size_t) {
                    self->onWritten(writeError);
                });
    }

    // A failed write may have sent a part; whether the target ran it cannot be told.
    void onWritten(beast::error_code error)
    {
        if (error)
            return this->fail(SendFailure::Lost);
        if (this->order.onPart)
            return this->readPart();
        http::async_read(
                this->stream, this->buffer, this->parser,
                [self = this->shared_from_this()](beast::error_code readError, std::size_t) {
                    self->onRead(readError);
                });
    }

    void readPart()
    {
        http::async_read_some(
                this->stream, this->buffer, this->parser,
                [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                    self->onPartRead(error);
                });
    }

    // Only a 200 is handed on in pieces; other bodies are small errors and have a limit.
    void onPartRead(beast::error_code error)
    {
        if (error || !this->isOwnAnswer())
            return this->fail(SendFailure::Lost);
        std::string &body = this->parser.get().body();
        if (body.size() > maxPartBytes)
            return this->fail(SendFailure::Lost);
        if (this->parser.get().result() == http::status::ok && !body.empty())
            this->order.onPart(std::exchange(body, {}));
        if (this->parser.is_done())
            return this->onRead({});
        this->readPart();
    }

    bool isOwnAnswer()
    {
        if (!this->parser.is_header_done())
            return true;
        const auto &response = this->parser.get();
        const auto echoed = response.find(requestIdHeader);
        return echoed == response.end() || echoed->value() == this->order.requestId;
    }

    void onRead(beast::error_code error)
    {
        if (error || !this->isOwnAnswer())
            return this->fail(SendFailure::Lost);
        auto &response = this->parser.get();
        HttpResult result;
        result.status = response.result_int();
        result.contentType = std::string(response[http::field::content_type]);
        result.body = std::move(response.body());
        this->order.done(std::move(result));
        this->stream.close();
    }

    void fail(SendFailure failure)
    {
        this->order.done({failure, 0, {}, {}});
        this->stream.close();
    }

    beast::tcp_stream stream;
    HttpRequest order;
    http::request<http::string_body> request;
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
};

} // namespace

struct HttpCaller::Implementation
{
    explicit Implementation(const CallerSettings &settings) : loop(settings.ringCapacity) { }

    ~Implementation() { this->loop.stop(); }

    detail::EventLoop<HttpRequest> loop;
};

HttpCaller::HttpCaller(std::unique_ptr<Implementation> implementation)
    : implementation(std::move(implementation))
{
}

HttpCaller::~HttpCaller() = default;

core::Result<std::unique_ptr<HttpCaller>> HttpCaller::create(const CallerSettings &settings)
{
    auto implementation = std::make_unique<Implementation>(settings);
    auto &loop = implementation->loop;
    loop.start(settings.name, [&loop, limit = settings.maxBodyBytes](HttpRequest &&request) {
        std::make_shared<Exchange>(loop.context(), std::move(request), limit)->start();
    });
    return std::unique_ptr<HttpCaller>(new HttpCaller(std::move(implementation)));
}

void HttpCaller::send(HttpRequest &&request)
{
    if (!this->implementation->loop.inbox().tryPush(std::move(request)))
        request.done({SendFailure::NotSent, 0, {}, {}}); // NOLINT(bugprone-use-after-move)
}

} // namespace geraniumpulley::net
