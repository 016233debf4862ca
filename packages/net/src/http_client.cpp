#include <geraniumpulley/net/http_client.hpp>

#include "connection_pool.hpp"
#include "connection_probe.hpp"

#include <geraniumpulley/core/http_status.hpp>
#include <geraniumpulley/net/detail/event_loop.hpp>
#include <geraniumpulley/runtime/clock.hpp>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <exception>
#include <limits>
#include <optional>
#include <set>
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

constexpr std::size_t maxBufferedPartBytes = 1024 * 1024;
constexpr std::uint32_t maxResponseHeaderBytes = 64 * 1024;
// A pooled connection is discarded this long before its server would close it, so that no request
// is sent while the server is closing it.
constexpr core::Duration keepAliveMargin = std::chrono::milliseconds(500);

// A server that sends more interim responses than this sends no response.
constexpr std::size_t maxInterimResponses = 16;

struct CancelCommand
{
    CancelKey key{};
};

using Command = std::variant<HttpRequest, CancelCommand, ConnectProbe>;

// Whether an error of a read or write shows that the peer has closed the connection.
bool isClosedByPeer(beast::error_code error)
{
    return error == asio::error::eof || error == asio::error::connection_reset
           || error == asio::error::broken_pipe || error == http::error::end_of_stream
           || error == http::error::partial_message;
}

// Whether the head of a request ends where it should, and the library takes its fields.
bool isSendable(const HttpRequest &request)
{
    return core::isSendableTarget(request.target) && core::isSendable({"Host", request.host})
           && core::isSendable({request.idHeader, request.requestId})
           && core::isSendable({"Content-Type", request.contentType})
           && std::all_of(request.headers.begin(), request.headers.end(),
                          [](const core::HttpHeader &header) { return core::isSendable(header); });
}

// Parses the timeout of a Keep-Alive header such as "timeout=5, max=100".
// \return no value if the timeout is missing or malformed.
std::optional<core::Duration> parseKeepAliveTimeout(std::string_view header)
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

struct HttpClient::Implementation
{
    class Exchange;

    explicit Implementation(const HttpClientSettings &settings)
        : settings(settings), loop(settings.ringCapacity), pool(loop.context())
    {
    }

    ~Implementation() { this->loop.stop(); }

    void handle(Command &&command);
    void limitBufferedBytes();

    HttpClientSettings settings;
    std::atomic<std::uint64_t> openedConnections = 0;
    std::atomic<std::uint64_t> oversizedResponses = 0;
    // Used on the loop's thread only, and by the exchanges that are destroyed with the loop.
    std::set<Exchange *> bufferingExchanges; // Those that hold bytes of an incomplete response.
    std::size_t bufferedBytes = 0; // Held by them together.
    detail::EventLoop<Command> loop;
    ConnectionPool pool; // This and the member below are used on the loop's thread only.
    std::unordered_map<std::uint64_t, std::weak_ptr<Exchange>> cancellableExchanges;
};

// One request and its response. Pending callbacks keep it alive.
class HttpClient::Implementation::Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(Implementation &client, HttpRequest request)
        : client(client), request(std::move(request))
    {
        this->resetParser();
    }

    ~Exchange() { this->setBufferedBytes(0); }

    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    void start()
    {
        if (this->request.reuseConnection)
            this->connection = this->client.pool.acquire(this->poolKey(), runtime::now());
        if (this->connection)
            return this->write();
        const auto endpoint = detail::parseAddress(this->request.address);
        if (!endpoint)
            return this->fail(SendFailure::NotSent);
        this->connection = std::make_shared<Connection>(this->client.loop.context());
        ++this->client.openedConnections;
        core::Time expiry = this->request.deadline;
        if (this->request.connectTimeout > core::Duration{})
            expiry = std::min(expiry, runtime::now() + this->request.connectTimeout);
        this->connection->stream.expires_at(expiry);
        this->connection->stream.async_connect(
                endpoint.value(), [self = this->shared_from_this()](beast::error_code error) {
                    self->onConnected(error);
                });
    }

    void cancel()
    {
        if (this->completed)
            return;
        this->fail(this->writeStarted ? SendFailure::AnswerLost : SendFailure::NotSent);
    }

    [[nodiscard]] std::size_t heldBytes() const { return this->bufferedBytes; }

    void giveUpOversized()
    {
        ++this->client.oversizedResponses;
        this->exceedsMemory = true;
        this->fail(SendFailure::AnswerLost);
    }

private:
    void resetParser()
    {
        this->parser.emplace();
        this->parser->header_limit(maxResponseHeaderBytes);
        // The response to HEAD ends with its head, whatever length it states (RFC 9110, 9.3.2).
        this->parser->skip(this->request.method == "HEAD");
        // Boost 1.74 rejects each body with a length if the limit is none.
        this->parser->body_limit(this->request.onBodyPart
                                         ? std::numeric_limits<std::uint64_t>::max()
                                         : this->client.settings.maxBodyBytes);
    }

    void onConnected(beast::error_code error)
    {
        if (this->completed)
            return;
        if (error)
            return this->fail(SendFailure::NotSent);
        beast::error_code ignored;
        Tcp::socket &socket = this->connection->stream.socket();
        socket.set_option(Tcp::no_delay(true), ignored);
        // Without this option, a write to a machine that has lost power goes undetected for
        // minutes.
        const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(
                this->client.settings.tcpUserTimeout);
        socket.set_option(asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(
                                  static_cast<int>(timeout.count())),
                          ignored);
        this->write();
    }

    // The timer of the connection does not prevent a write that can be performed at once.
    void write()
    {
        if (!isSendable(this->request) || runtime::now() >= this->request.deadline
            || (this->request.mayWrite && !this->request.mayWrite()))
            return this->fail(SendFailure::NotSent);
        // The library refuses some requests, such as one with the method TRACE and a body.
        try {
            this->buildMessage();
        } catch (const std::exception &) {
            return this->fail(SendFailure::NotSent);
        }
        this->writeStarted = true;
        this->restartReadTimeout();
        this->setResetOnClose(true);
        http::async_write(this->connection->stream, this->message,
                          [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                              self->onWritten(error);
                          });
    }

    void buildMessage()
    {
        this->message.version(11);
        this->message.method_string(this->request.method);
        this->message.target(this->request.target);
        for (const core::HttpHeader &header : std::exchange(this->request.headers, {}))
            this->message.insert(header.name, header.value);
        this->message.set(http::field::host,
                          this->request.host.empty() ? this->request.address : this->request.host);
        if (!this->request.reuseConnection)
            this->message.set(http::field::connection, "close");
        if (!this->request.requestId.empty())
            this->message.set(this->request.idHeader, this->request.requestId);
        if (!this->request.contentType.empty())
            this->message.set(http::field::content_type, this->request.contentType);
        const std::string &body = this->request.body;
        this->message.body() = {body.data(), body.size()};
        this->message.prepare_payload();
    }

    void restartReadTimeout()
    {
        core::Time expiry = this->request.deadline;
        if (this->request.readTimeout > core::Duration{})
            expiry = std::min(expiry, runtime::now() + this->request.readTimeout);
        this->connection->stream.expires_at(expiry);
    }

    // A failed write may have sent part of the request; it is unknown whether the target executed
    // it.
    void onWritten(beast::error_code error)
    {
        if (this->completed)
            return;
        if (error)
            return this->fail(SendFailure::AnswerLost, isClosedByPeer(error));
        this->readResponse();
    }

    void readResponse()
    {
        http::async_read_some(
                this->connection->stream, this->connection->buffer, *this->parser,
                [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                    self->onPartRead(error);
                });
    }

    // Of a request that takes its response in parts, bodies of another type are short messages.
    void onPartRead(beast::error_code error)
    {
        if (this->completed)
            return;
        if (error == http::error::body_limit || error == http::error::header_limit)
            return this->giveUpOversized();
        if (!this->hasResponseStatus())
            return this->fail(SendFailure::AnswerLost);
        const bool deliversBody = this->isDeliveredInParts();
        const bool isMatching = this->isMatchingResponse();
        std::string &body = this->parser->get().body();
        if (isMatching && deliversBody)
            this->deliverPart(body);
        if (error || !isMatching)
            return this->fail(SendFailure::AnswerLost, isClosedByPeer(error));
        if (this->request.onBodyPart && body.size() > maxBufferedPartBytes)
            return this->giveUpOversized();
        if (this->parser->is_done())
            return this->onRead({});
        this->setBufferedBytes(body.size() + this->connection->buffer.size());
        this->client.limitBufferedBytes();
        if (!this->completed)
            this->readResponse();
    }

    void setBufferedBytes(std::size_t bytes)
    {
        this->client.bufferedBytes += bytes - std::exchange(this->bufferedBytes, bytes);
        if (bytes > 0)
            this->client.bufferingExchanges.insert(this);
        else
            this->client.bufferingExchanges.erase(this);
    }

    bool isDeliveredInParts()
    {
        if (!this->request.onBodyPart || !this->parser->is_header_done()
            || this->parser->get().result() != http::status::ok)
            return false;
        const std::string &type = this->request.bodyPartType;
        const auto received = this->parser->get()[http::field::content_type];
        return type.empty()
               || (beast::iequals(received.substr(0, type.size()), type)
                   && (received.size() == type.size() || received[type.size()] == ';'
                       || received[type.size()] == ' '));
    }

    // Bytes that complete nothing do not extend the time for the response: a stalled server may
    // send some now and then.
    void deliverPart(std::string &body)
    {
        bool isProgress = !std::exchange(this->headDelivered, true);
        if (isProgress && this->request.onResponseHead)
            this->request.onResponseHead(
                    {this->parser->get().result_int(), this->responseHeaders()});
        if (!body.empty())
            isProgress = this->request.onBodyPart(std::exchange(body, {})) || isProgress;
        if (isProgress && !this->completed)
            this->restartReadTimeout();
    }

    bool isInterimResponse() { return core::status::isInterim(this->parser->get().result_int()); }

    // Whatever else a server sends in the place of a status, it is no response, and may belong to a
    // request that has run.
    bool hasResponseStatus()
    {
        const unsigned status = this->parser->get().result_int();
        return !this->parser->is_header_done() || core::status::isInterim(status)
               || core::status::isFinal(status);
    }

    // A connection is pooled only if its server echoed a request id, so that on a reused one a
    // response without the id is a late one to an earlier request.
    bool isMatchingResponse()
    {
        if (!this->parser->is_header_done() || this->isInterimResponse()
            || this->request.requestId.empty())
            return true;
        const auto &response = this->parser->get();
        const auto echoed = response.find(this->request.idHeader);
        if (echoed == response.end())
            return this->connection->useCount == 0;
        return echoed->value() == this->request.requestId;
    }

    // Requests without an id, which take any response, do not share connections with others, whose
    // late responses they could meet.
    std::string poolKey() const
    {
        return this->request.address + (this->request.requestId.empty() ? "" : " with ids");
    }

    bool echoesId()
    {
        return this->request.requestId.empty()
               || this->parser->get().find(this->request.idHeader) != this->parser->get().end();
    }

    std::vector<core::HttpHeader> responseHeaders()
    {
        std::vector<core::HttpHeader> headers;
        for (const auto &header : this->parser->get())
            headers.push_back({std::string(header.name_string()), std::string(header.value())});
        return headers;
    }

    void onRead(beast::error_code error)
    {
        if (this->completed)
            return;
        if (error || !this->isMatchingResponse())
            return this->fail(SendFailure::AnswerLost, isClosedByPeer(error));
        if (this->isInterimResponse()) {
            if (++this->interimResponses > maxInterimResponses)
                return this->fail(SendFailure::AnswerLost);
            this->resetParser();
            return this->readResponse();
        }
        auto &response = this->parser->get();
        HttpResult result;
        result.status = response.result_int();
        result.contentType = std::string(response[http::field::content_type]);
        result.headers = this->responseHeaders();
        result.isSelfDelimited = !this->parser->need_eof();
        result.body = std::move(response.body());
        result.isDeliveredInParts = this->headDelivered;
        this->releaseConnection(result.isSelfDelimited);
        this->complete(std::move(result));
    }

    // Bytes after the response belong to no request, so such a connection is not reused.
    void releaseConnection(bool isSelfDelimited)
    {
        const auto &response = this->parser->get();
        if (!this->request.reuseConnection || !isSelfDelimited || !response.keep_alive()
            || this->connection->buffer.size() > 0 || !this->echoesId())
            return;
        const auto serverTimeout =
                parseKeepAliveTimeout(std::string(response[http::field::keep_alive]));
        const core::Duration idleTimeout = serverTimeout ? *serverTimeout - keepAliveMargin
                                                         : this->client.settings.idleTimeout;
        this->connection->expiresAt = runtime::now() + idleTimeout;
        if (idleTimeout <= core::Duration{})
            return;
        this->setResetOnClose(false);
        this->client.pool.release(this->poolKey(), std::exchange(this->connection, nullptr));
    }

    void fail(SendFailure failure, bool closedByServer = false)
    {
        this->complete({failure,
                        0,
                        {},
                        {},
                        {},
                        true,
                        this->headDelivered,
                        closedByServer,
                        this->exceedsMemory});
    }

    // Makes closing the connection send a reset, so that an abandoned request cannot arrive later:
    // after a plain close, the system would still deliver bytes that a network partition held back.
    // This is set before the request is sent, because an expired timeout closes the connection
    // by itself.
    void setResetOnClose(bool isEnabled)
    {
        beast::error_code ignored;
        this->connection->stream.socket().set_option(asio::socket_base::linger(isEnabled, 0),
                                                     ignored);
    }

    void complete(HttpResult &&result)
    {
        this->completed = true;
        this->setBufferedBytes(0);
        if (this->request.cancelKey != CancelKey{})
            this->client.cancellableExchanges.erase(
                    static_cast<std::uint64_t>(this->request.cancelKey));
        if (this->connection) {
            if (result.failure == SendFailure::None)
                this->setResetOnClose(false);
            beast::error_code ignored;
            this->connection->stream.socket().close(ignored);
        }
        this->request.done(std::move(result));
    }

    Implementation &client;
    std::shared_ptr<Connection> connection;
    HttpRequest request;
    http::request<http::span_body<const char>> message; // Refers to the body of `request`.
    std::optional<http::response_parser<http::string_body>> parser;
    bool writeStarted = false;
    std::size_t bufferedBytes = 0; // Of the response so far, not counting delivered parts.
    bool headDelivered = false;
    std::size_t interimResponses = 0;
    bool exceedsMemory = false;
    bool completed = false;
};

// A server that sends bytes without end has the largest response, so the others go on.
void HttpClient::Implementation::limitBufferedBytes()
{
    while (this->bufferedBytes > this->settings.maxBufferedBytes) {
        const auto largest =
                std::max_element(this->bufferingExchanges.begin(), this->bufferingExchanges.end(),
                                 [](const Exchange *a, const Exchange *b) {
                                     return a->heldBytes() < b->heldBytes();
                                 });
        (*largest)->giveUpOversized();
    }
}

void HttpClient::Implementation::handle(Command &&command)
{
    if (const auto *cancelCommand = std::get_if<CancelCommand>(&command)) {
        const auto position =
                this->cancellableExchanges.find(static_cast<std::uint64_t>(cancelCommand->key));
        if (position == this->cancellableExchanges.end())
            return;
        if (const std::shared_ptr<Exchange> exchange = position->second.lock())
            exchange->cancel();
        return;
    }
    if (auto *probe = std::get_if<ConnectProbe>(&command)) {
        ++this->openedConnections;
        return startProbe(this->loop.context(), std::move(*probe));
    }
    HttpRequest &request = std::get<HttpRequest>(command);
    const CancelKey key = request.cancelKey;
    const auto exchange = std::make_shared<Exchange>(*this, std::move(request));
    if (key != CancelKey{})
        this->cancellableExchanges[static_cast<std::uint64_t>(key)] = exchange;
    exchange->start();
}

HttpClient::HttpClient(std::unique_ptr<Implementation> implementation)
    : implementation(std::move(implementation))
{
}

HttpClient::~HttpClient() = default;

core::Result<std::unique_ptr<HttpClient>> HttpClient::create(const HttpClientSettings &settings)
{
    auto implementation = std::make_unique<Implementation>(settings);
    Implementation &client = *implementation;
    client.loop.start(settings.name,
                      [&client](Command &&command) { client.handle(std::move(command)); });
    return std::unique_ptr<HttpClient>(new HttpClient(std::move(implementation)));
}

void HttpClient::send(HttpRequest &&request)
{
    Command command(std::move(request));
    if (!this->implementation->loop.inbox().tryPush(std::move(command)))
        std::get<HttpRequest>(command).done( // NOLINT(bugprone-use-after-move)
                {SendFailure::NotSent, 0, {}, {}, {}, true});
}

bool HttpClient::cancel(CancelKey key)
{
    return this->implementation->loop.inbox().tryPush(CancelCommand{key});
}

void HttpClient::probe(ConnectProbe &&probe)
{
    Command command(std::move(probe));
    if (!this->implementation->loop.inbox().tryPush(std::move(command)))
        std::get<ConnectProbe>(command).done( // NOLINT(bugprone-use-after-move)
                ConnectOutcome::TimedOut);
}

std::uint64_t HttpClient::oversizedResponseCount() const
{
    return this->implementation->oversizedResponses;
}

std::uint64_t HttpClient::connectionsOpened() const
{
    return this->implementation->openedConnections;
}

void HttpClient::stop()
{
    this->implementation->loop.stop();
}

} // namespace geraniumpulley::net
