#include <geraniumpulley/net/http_caller.hpp>

#include "connection_pool.hpp"

#include <geraniumpulley/net/detail/event_loop.hpp>
#include <geraniumpulley/runtime/clock.hpp>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>

namespace geraniumpulley::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

constexpr std::size_t maxPartBytes = 1024 * 1024;
constexpr std::uint32_t maxAnswerHeaderBytes = 64 * 1024;
// A kept connection is given up this long before its server would close it, so that no request
// crosses the close.
constexpr core::Duration keepAliveMargin = std::chrono::milliseconds(500);

struct CancelOrder
{
    CancelKey key{};
};

using Order = std::variant<HttpRequest, CancelOrder>;

// The seconds in "timeout=5, max=100"; nothing when they are missing.
std::optional<core::Duration> keepAliveOf(std::string_view header)
{
    constexpr std::string_view name = "timeout=";
    const std::size_t start = header.find(name);
    if (start == std::string_view::npos)
        return std::nullopt;
    std::uint32_t seconds = 0;
    const char *const first = header.data() + start + name.size();
    const auto [end, error] = std::from_chars(first, header.data() + header.size(), seconds);
    if (error != std::errc{} || end == first)
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

} // namespace

struct HttpCaller::Implementation
{
    class Exchange;

    explicit Implementation(const CallerSettings &settings)
        : settings(settings), loop(settings.ringCapacity), pool(loop.context())
    {
    }

    ~Implementation() { this->loop.stop(); }

    void take(Order &&order);

    CallerSettings settings;
    std::atomic<std::uint64_t> opened = 0;
    detail::EventLoop<Order> loop;
    ConnectionPool pool; // Used on the loop's thread, as below.
    std::unordered_map<std::uint64_t, std::weak_ptr<Exchange>> cancellable;
};

// One request and its answer; its callbacks hold it alive.
class HttpCaller::Implementation::Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(Implementation &caller, HttpRequest request)
        : caller(caller), order(std::move(request))
    {
        this->parser.header_limit(maxAnswerHeaderBytes);
        if (this->order.onPart)
            this->parser.body_limit(boost::none);
        else
            this->parser.body_limit(caller.settings.maxBodyBytes);
    }

    void start()
    {
        if (this->order.reuse)
            this->connection = this->caller.pool.take(this->order.address, runtime::now());
        if (this->connection)
            return this->write();
        const auto endpoint = detail::parseAddress(this->order.address);
        if (!endpoint)
            return this->fail(SendFailure::NotSent);
        this->connection = std::make_shared<Connection>(this->caller.loop.context());
        ++this->caller.opened;
        core::Time until = this->order.deadline;
        if (this->order.connectLimit > core::Duration{})
            until = std::min(until, runtime::now() + this->order.connectLimit);
        this->connection->stream.expires_at(until);
        this->connection->stream.async_connect(
                endpoint.value(), [self = this->shared_from_this()](beast::error_code error) {
                    self->onConnected(error);
                });
    }

    void cancel()
    {
        if (this->finished)
            return;
        this->fail(this->sent ? SendFailure::Lost : SendFailure::NotSent);
    }

private:
    void onConnected(beast::error_code error)
    {
        if (this->finished)
            return;
        if (error)
            return this->fail(SendFailure::NotSent);
        beast::error_code ignored;
        Tcp::socket &socket = this->connection->stream.socket();
        socket.set_option(Tcp::no_delay(true), ignored);
        // Without it a write to a machine without power stays unnoticed for minutes.
        const auto limit = std::chrono::duration_cast<std::chrono::milliseconds>(
                this->caller.settings.unacknowledgedLimit);
        socket.set_option(asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(
                                  static_cast<int>(limit.count())),
                          ignored);
        this->write();
    }

    void write()
    {
        this->sent = true;
        this->request.version(11);
        this->request.method_string(this->order.method);
        this->request.target(this->order.target);
        for (const core::HttpHeader &header : this->order.headers)
            this->request.insert(header.name, header.value);
        this->request.set(http::field::host,
                          this->order.host.empty() ? this->order.address : this->order.host);
        if (!this->order.reuse)
            this->request.set(http::field::connection, "close");
        if (!this->order.requestId.empty())
            this->request.set(this->order.idHeader, this->order.requestId);
        if (!this->order.contentType.empty())
            this->request.set(http::field::content_type, this->order.contentType);
        this->request.body() = std::move(this->order.body);
        this->request.prepare_payload();
        this->expire();
        this->resetOnClose(true);
        http::async_write(this->connection->stream, this->request,
                          [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                              self->onWritten(error);
                          });
    }

    void expire()
    {
        core::Time until = this->order.deadline;
        if (this->order.silenceLimit > core::Duration{})
            until = std::min(until, runtime::now() + this->order.silenceLimit);
        this->connection->stream.expires_at(until);
    }

    // A failed write may have sent a part; whether the target ran it cannot be told.
    void onWritten(beast::error_code error)
    {
        if (this->finished)
            return;
        if (error)
            return this->fail(SendFailure::Lost);
        if (this->order.onPart)
            return this->readPart();
        http::async_read(
                this->connection->stream, this->connection->buffer, this->parser,
                [self = this->shared_from_this()](beast::error_code readError, std::size_t) {
                    self->onRead(readError);
                });
    }

    void readPart()
    {
        this->expire();
        http::async_read_some(
                this->connection->stream, this->connection->buffer, this->parser,
                [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                    self->onPartRead(error);
                });
    }

    // Only a 200 is handed on in pieces; other bodies are small errors and have a limit.
    void onPartRead(beast::error_code error)
    {
        if (this->finished)
            return;
        const bool handsOn =
                this->parser.is_header_done() && this->parser.get().result() == http::status::ok;
        const bool isOwn = this->isOwnAnswer();
        std::string &body = this->parser.get().body();
        if (isOwn && handsOn)
            this->handOn(body);
        if (error || !isOwn || body.size() > maxPartBytes)
            return this->fail(SendFailure::Lost);
        if (this->parser.is_done())
            return this->onRead({});
        this->readPart();
    }

    void handOn(std::string &body)
    {
        if (!std::exchange(this->headGiven, true) && this->order.onHead)
            this->order.onHead({this->parser.get().result_int(), this->answerHeaders()});
        if (!body.empty())
            this->order.onPart(std::exchange(body, {}));
    }

    bool isOwnAnswer()
    {
        if (!this->parser.is_header_done() || this->order.requestId.empty())
            return true;
        const auto &response = this->parser.get();
        const auto echoed = response.find(this->order.idHeader);
        return echoed == response.end() || echoed->value() == this->order.requestId;
    }

    std::vector<core::HttpHeader> answerHeaders()
    {
        std::vector<core::HttpHeader> headers;
        for (const auto &header : this->parser.get())
            headers.push_back({std::string(header.name_string()), std::string(header.value())});
        return headers;
    }

    void onRead(beast::error_code error)
    {
        if (this->finished)
            return;
        if (error || !this->isOwnAnswer())
            return this->fail(SendFailure::Lost);
        auto &response = this->parser.get();
        HttpResult result;
        result.status = response.result_int();
        result.contentType = std::string(response[http::field::content_type]);
        result.headers = this->answerHeaders();
        result.framed = !this->parser.need_eof();
        result.body = std::move(response.body());
        this->keepConnection(result.framed);
        this->finish(std::move(result));
    }

    // Bytes behind the answer belong to no request; such a connection is not used again.
    void keepConnection(bool framed)
    {
        const auto &response = this->parser.get();
        if (!this->order.reuse || !framed || !response.keep_alive()
            || this->connection->buffer.size() > 0)
            return;
        const auto told = keepAliveOf(std::string(response[http::field::keep_alive]));
        const core::Duration limit =
                told ? *told - keepAliveMargin : this->caller.settings.idleLimit;
        this->connection->idleUntil = runtime::now() + limit;
        if (limit <= core::Duration{})
            return;
        this->resetOnClose(false);
        this->caller.pool.keep(this->order.address, std::exchange(this->connection, nullptr));
    }

    void fail(SendFailure failure) { this->finish({failure, 0, {}, {}, {}, true}); }

    // A request that is given up must not arrive later: with a plain close the system would go on
    // to deliver what a cut has held up. Set before the request is sent, because a time limit
    // closes the connection by itself.
    void resetOnClose(bool isReset)
    {
        beast::error_code ignored;
        this->connection->stream.socket().set_option(asio::socket_base::linger(isReset, 0),
                                                     ignored);
    }

    void finish(HttpResult &&result)
    {
        this->finished = true;
        if (this->order.cancelKey != CancelKey{})
            this->caller.cancellable.erase(static_cast<std::uint64_t>(this->order.cancelKey));
        if (this->connection) {
            if (result.failure == SendFailure::None)
                this->resetOnClose(false);
            beast::error_code ignored;
            this->connection->stream.socket().close(ignored);
        }
        this->order.done(std::move(result));
    }

    Implementation &caller;
    std::shared_ptr<Connection> connection;
    HttpRequest order;
    http::request<http::string_body> request;
    http::response_parser<http::string_body> parser;
    bool sent = false;
    bool headGiven = false;
    bool finished = false;
};

void HttpCaller::Implementation::take(Order &&order)
{
    if (const auto *cancelled = std::get_if<CancelOrder>(&order)) {
        const auto position = this->cancellable.find(static_cast<std::uint64_t>(cancelled->key));
        if (position == this->cancellable.end())
            return;
        if (const std::shared_ptr<Exchange> exchange = position->second.lock())
            exchange->cancel();
        return;
    }
    HttpRequest &request = std::get<HttpRequest>(order);
    const CancelKey key = request.cancelKey;
    const auto exchange = std::make_shared<Exchange>(*this, std::move(request));
    if (key != CancelKey{})
        this->cancellable[static_cast<std::uint64_t>(key)] = exchange;
    exchange->start();
}

HttpCaller::HttpCaller(std::unique_ptr<Implementation> implementation)
    : implementation(std::move(implementation))
{
}

HttpCaller::~HttpCaller() = default;

core::Result<std::unique_ptr<HttpCaller>> HttpCaller::create(const CallerSettings &settings)
{
    auto implementation = std::make_unique<Implementation>(settings);
    Implementation &caller = *implementation;
    caller.loop.start(settings.name, [&caller](Order &&order) { caller.take(std::move(order)); });
    return std::unique_ptr<HttpCaller>(new HttpCaller(std::move(implementation)));
}

void HttpCaller::send(HttpRequest &&request)
{
    Order order(std::move(request));
    if (!this->implementation->loop.inbox().tryPush(std::move(order)))
        std::get<HttpRequest>(order).done( // NOLINT(bugprone-use-after-move)
                {SendFailure::NotSent, 0, {}, {}, {}, true});
}

bool HttpCaller::cancel(CancelKey key)
{
    return this->implementation->loop.inbox().tryPush(CancelOrder{key});
}

std::uint64_t HttpCaller::connectionsOpened() const
{
    return this->implementation->opened;
}

void HttpCaller::stop()
{
    this->implementation->loop.stop();
}

} // namespace geraniumpulley::net
