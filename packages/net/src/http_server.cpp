#include <geraniumpulley/net/http_server.hpp>

#include <geraniumpulley/net/detail/event_loop.hpp>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <atomic>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <utility>
#include <variant>

namespace geraniumpulley::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

// A connection is closed when its client lags behind the response by more parts than this, which
// bounds memory.
constexpr std::size_t maxQueuedParts = 1024;

// Size of the first read of a request; the rest of the header and the body use the same buffer.
constexpr std::size_t firstReadBytes = 4096;

// Room for one read of a body, behind which at most the limit of a header is buffered: chunk
// extensions and trailers are parsed only when they are complete, and count as header.
constexpr std::size_t bodyReadBytes = 16 * 1024;

struct BeginDrain
{
};
using Command = std::variant<ServerResponse, HttpServerLimits, BeginDrain>;

constexpr const char *requestIdHeader = "X-Request-Id";
constexpr const char *queueFullResponseBody = R"({"outcome":"not_run","reason":"queue_full"})";

} // namespace

std::string findHeader(const std::vector<HttpHeader> &headers, const std::string &name)
{
    const auto found = std::find_if(headers.begin(), headers.end(), [&](const HttpHeader &header) {
        return boost::algorithm::iequals(header.name, name);
    });
    return found == headers.end() ? std::string() : found->value;
}

struct HttpServer::Implementation
{
    class Session;

    Implementation(const HttpServerSettings &settings, RequestHandler handler,
                   DisconnectHandler disconnectHandler)
        : settings(settings), handler(std::move(handler)),
          disconnectHandler(std::move(disconnectHandler)), loop(settings.maxConnections),
          acceptor(loop.context())
    {
    }

    ~Implementation() { this->loop.stop(); }

    void accept();
    void acceptQueued();
    void open(Tcp::socket socket);
    void beginDrain();
    void addSession(Session &session);
    void removeSession(Session &session);
    void reportDrained();
    void limitUnreadBytes();
    void handle(Command &&command);
    void respond(ServerResponse &&response);

    // Adds an accepted request to the pending responses, or removes one whose response was written
    // or given up.
    void updatePendingResponses(bool isPending)
    {
        {
            const std::lock_guard lock(this->mutex);
            this->pendingResponses += isPending ? 1 : -1;
        }
        this->pendingChanged.notify_all();
    }

    HttpServerSettings settings;
    RequestHandler handler;
    DisconnectHandler disconnectHandler;
    std::uint16_t port = 0;
    std::atomic<bool> keepAliveDisabled = false;
    std::atomic<std::uint64_t> misplacedResponses = 0;
    std::atomic<std::uint64_t> memoryRefusals = 0;
    std::mutex mutex;
    std::condition_variable pendingChanged;
    int pendingResponses = 0; // Guarded by `mutex`.
    bool drained = false; // Guarded by `mutex`.
    // This and all members below are used on the loop's thread only.
    std::set<Session *> sessions;
    bool draining = false;
    std::size_t bufferedBytes = 0; // Of request bodies without a response yet.
    std::size_t unreadBytes = 0; // Of responses that are not written yet.
    detail::EventLoop<Command> loop;
    Tcp::acceptor acceptor;
    core::ReplyToken nextToken{1};
    std::map<core::ReplyToken, std::shared_ptr<Session>> pendingSessions;
};

// One connection. Pending callbacks keep it alive; all of them run on the loop's thread.
class HttpServer::Implementation::Session : public std::enable_shared_from_this<Session>
{
public:
    Session(Implementation &server, Tcp::socket socket) : server(server), stream(std::move(socket))
    {
        this->server.addSession(*this);
    }

    ~Session()
    {
        this->releasePending();
        this->releaseUnread(this->unreadBytes);
        this->server.removeSession(*this);
    }

    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    void read()
    {
        if (this->buffer.size() > 0)
            return this->readHeader();
        this->isIdle = true;
        this->stream.expires_after(this->server.settings.idleTimeout);
        this->stream.async_read_some(
                this->buffer.prepare(firstReadBytes),
                [self = this->shared_from_this()](beast::error_code error, std::size_t size) {
                    self->isIdle = false;
                    if (error == asio::error::operation_aborted && self->hasUnreadBytes())
                        return self->read();
                    if (error)
                        return self->close();
                    self->buffer.commit(size);
                    self->readHeader();
                });
    }

    void write(ServerResponse &&response)
    {
        if (response.abortConnection)
            return this->close();
        this->message = {};
        this->message.version(11);
        this->message.result(response.status);
        if (!response.contentType.empty())
            this->message.set(http::field::content_type, response.contentType);
        for (const HttpHeader &header : response.headers)
            this->message.insert(header.name, header.value);
        if (!this->requestId.empty())
            this->message.set(requestIdHeader, this->requestId);
        this->message.body() = std::move(response.body);
        this->keepAlive = this->keepAlive && !this->server.keepAliveDisabled;
        this->message.keep_alive(this->keepAlive);
        this->message.prepare_payload();
        this->holdUnread(this->message.body().size());
        this->stream.expires_after(this->server.settings.writeTimeout);
        http::async_write(this->stream, this->message,
                          [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                              self->releaseUnread(self->unreadBytes);
                              self->onWritten(error);
                          });
    }

    // Bytes of responses that this connection holds.
    [[nodiscard]] std::size_t heldBytes() const { return this->unreadBytes; }

    // Whether this part may follow the parts so far. A response that begins a second time would
    // reach the client within the body of the first.
    [[nodiscard]] bool isInOrder(const ServerResponse &response) const
    {
        const bool begins =
                response.part == ResponsePart::Whole || response.part == ResponsePart::First;
        return response.abortConnection || begins != this->partsBegun;
    }

    // The pending read has possibly taken bytes off the socket already, so it is cancelled, and its
    // handler closes the connection if no byte has arrived.
    void closeIfIdle()
    {
        if (this->isIdle)
            this->stream.cancel();
    }

    // Closes the connection of a client that does not read its response.
    void giveUpUnread()
    {
        const core::ReplyToken token = this->currentToken;
        if (this->server.pendingSessions.count(token) == 0)
            return this->breakOff();
        this->onClientDisconnected(token);
    }

    void breakOff()
    {
        this->releasePending();
        this->close();
    }

    void writePart(ServerResponse &&response)
    {
        if (this->isClosed)
            return;
        this->partsBegun = true;
        this->holdUnread(response.body.size());
        this->parts.push_back(std::move(response));
        if (this->parts.size() > maxQueuedParts)
            return this->close();
        if (this->parts.size() == 1)
            this->writeNextPart();
    }

private:
    void holdUnread(std::size_t bytes)
    {
        this->unreadBytes += bytes;
        this->server.unreadBytes += bytes;
    }

    void releaseUnread(std::size_t bytes)
    {
        this->unreadBytes -= bytes;
        this->server.unreadBytes -= bytes;
    }

    void readHeader()
    {
        this->buffer.max_size(std::max(this->server.settings.maxHeaderBytes + bodyReadBytes,
                                       this->buffer.size() + bodyReadBytes));
        this->parser.emplace();
        this->parser->header_limit(
                static_cast<std::uint32_t>(this->server.settings.maxHeaderBytes));
        this->parser->body_limit(this->server.settings.maxBodyBytes);
        this->stream.expires_after(this->server.settings.readTimeout);
        http::async_read_header(
                this->stream, this->buffer, *this->parser,
                [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                    self->onHeader(error);
                });
    }

    [[nodiscard]] bool hasUnreadBytes()
    {
        beast::error_code error;
        return this->stream.socket().available(error) > 0 && !error;
    }

    void writeNextPart()
    {
        ServerResponse &part = this->parts.front();
        if (part.abortConnection)
            return this->close();
        this->chunk.clear();
        auto append = [this](const auto &buffers) {
            for (const asio::const_buffer buffer : beast::buffers_range_ref(buffers))
                this->chunk.append(static_cast<const char *>(buffer.data()), buffer.size());
        };
        if (part.part == ResponsePart::First)
            this->chunk = this->encodeHeader(part);
        if (!part.body.empty())
            append(http::make_chunk(asio::buffer(part.body)));
        if (part.part == ResponsePart::Last)
            append(http::make_chunk_last());
        this->stream.expires_after(this->server.settings.writeTimeout);
        asio::async_write(this->stream, asio::buffer(this->chunk),
                          [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                              self->onPartWritten(error);
                          });
    }

    std::string encodeHeader(const ServerResponse &part)
    {
        this->keepAlive = this->keepAlive && !this->server.keepAliveDisabled;
        http::response<http::empty_body> header;
        header.version(11);
        header.result(part.status);
        if (!part.contentType.empty())
            header.set(http::field::content_type, part.contentType);
        for (const HttpHeader &field : part.headers)
            header.insert(field.name, field.value);
        if (!this->requestId.empty())
            header.set(requestIdHeader, this->requestId);
        header.keep_alive(this->keepAlive);
        header.chunked(true);
        std::ostringstream text;
        text << header.base();
        return text.str();
    }

    void onPartWritten(beast::error_code error)
    {
        if (error)
            return this->close();
        if (this->isClosed)
            return;
        const bool isLast = this->parts.front().part == ResponsePart::Last;
        this->releaseUnread(this->parts.front().body.size());
        this->parts.pop_front();
        if (isLast)
            return this->onWritten(error);
        this->stream.expires_never();
        if (!this->parts.empty())
            this->writeNextPart();
    }

    void onHeader(beast::error_code error)
    {
        this->requestId.clear();
        if (error)
            return this->onRead(error);
        this->requestId = std::string(this->parser->get()[requestIdHeader]);
        if (this->parser->content_length().value_or(0) > this->server.settings.maxBodyBytes)
            return this->reject(413, "body_too_large");
        this->readBody();
    }

    // The limit for the bodies of all connections counts the bytes that have been read, not the
    // announced lengths.
    void readBody()
    {
        const std::size_t bytes = this->parser->get().body().size();
        this->server.bufferedBytes += bytes - this->bufferedBytes;
        this->bufferedBytes = bytes;
        if (this->server.bufferedBytes > this->server.settings.maxBufferedBytes) {
            ++this->server.memoryRefusals;
            return this->reject(503, "queue_full");
        }
        if (this->parser->is_done())
            return this->onRead({});
        this->stream.expires_after(this->server.settings.readTimeout);
        http::async_read_some(
                this->stream, this->buffer, *this->parser,
                [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                    if (error)
                        return self->onRead(error);
                    self->readBody();
                });
    }

    void onRead(beast::error_code error)
    {
        if (error == http::error::body_limit)
            return this->reject(413, "body_too_large");
        if (error == http::error::buffer_overflow)
            ++this->server.memoryRefusals;
        if (error == http::error::header_limit || error == http::error::buffer_overflow)
            return this->reject(431, "headers_too_large");
        const bool isDisconnect = error == http::error::end_of_stream
                                  || error == beast::error::timeout
                                  || error == http::error::partial_message;
        if (error && !isDisconnect
            && error.category() == http::make_error_code(http::error::bad_method).category())
            return this->reject(400, "malformed_request");
        if (error)
            return this->close();
        this->dispatchRequest();
    }

    // Detects a client that disconnects while its request is being served.
    void watchForDisconnect(core::ReplyToken token)
    {
        this->stream.socket().async_wait(Tcp::socket::wait_read, [self = this->shared_from_this(),
                                                                  token](beast::error_code error) {
            if (error || !self->responsePending || self->currentToken != token)
                return;
            if (self->isClientDisconnected())
                self->onClientDisconnected(token);
        });
    }

    bool isClientDisconnected()
    {
        char byte = 0;
        beast::error_code error;
        this->stream.socket().non_blocking(true, error);
        const std::size_t size = this->stream.socket().receive(
                asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
        return (error && error != asio::error::would_block) || (!error && size == 0);
    }

    void onClientDisconnected(core::ReplyToken token)
    {
        this->server.pendingSessions.erase(token);
        this->releasePending();
        this->close();
        if (this->server.disconnectHandler)
            this->server.disconnectHandler(token);
    }

    void dispatchRequest()
    {
        const auto &message = this->parser->get();
        this->keepAlive = message.keep_alive();
        ServerRequest request;
        request.token = this->server.nextToken;
        this->server.nextToken = core::next(request.token);
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        for (const auto &header : message)
            request.headers.push_back(
                    {std::string(header.name_string()), std::string(header.value())});
        request.body = std::move(this->parser->get().body());
        this->parser.reset();
        this->stream.expires_never();
        const core::ReplyToken token = request.token;
        this->currentToken = token;
        this->server.pendingSessions.emplace(token, this->shared_from_this());
        this->responsePending = true;
        this->partsBegun = false;
        this->server.updatePendingResponses(true);
        if (this->server.handler(std::move(request))) {
            if (this->server.disconnectHandler)
                this->watchForDisconnect(token);
            return;
        }
        this->server.pendingSessions.erase(token);
        this->write({token, 503, "application/json", {}, queueFullResponseBody, false});
    }

    void reject(std::uint32_t status, const char *reason)
    {
        this->keepAlive = false;
        const std::string body =
                std::string(R"({"outcome":"not_run","reason":")") + reason + R"("})";
        this->write({core::ReplyToken{},
                     status,
                     "application/json",
                     {{"X-Outcome", "not_run"}, {"X-Reason", reason}},
                     body,
                     false});
    }

    void releasePending()
    {
        this->server.bufferedBytes -= std::exchange(this->bufferedBytes, 0);
        if (std::exchange(this->responsePending, false))
            this->server.updatePendingResponses(false);
    }

    void onWritten(beast::error_code error)
    {
        this->releasePending();
        if (error || !this->keepAlive)
            return this->close();
        this->read();
        if (this->server.draining)
            this->closeIfIdle();
    }

    void close()
    {
        this->isClosed = true;
        this->releaseUnread(this->unreadBytes);
        this->parts.clear();
        beast::error_code ignored;
        this->stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
        this->stream.close();
    }

    Implementation &server;
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    http::response<http::string_body> message;
    std::deque<ServerResponse> parts; // Of a chunked response; the first one is being written.
    std::string chunk;
    std::string requestId; // Echoed, so that the client can match the response.
    std::size_t bufferedBytes = 0;
    std::size_t unreadBytes = 0; // Of responses that are not written yet.
    core::ReplyToken currentToken{};
    bool responsePending = false;
    bool partsBegun = false; // The first part of the pending response was accepted.
    bool keepAlive = false;
    bool isIdle = false; // No byte of a request has been read.
    bool isClosed = false; // What is queued is dropped.
};

void HttpServer::Implementation::accept()
{
    this->acceptor.async_accept([this](boost::system::error_code error, Tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error)
            this->open(std::move(socket));
        if (!this->draining)
            this->accept();
    });
}

// Accepts the connections that the kernel has established already: closing the listener would reset
// them together with the requests that they carry.
void HttpServer::Implementation::acceptQueued()
{
    boost::system::error_code error;
    this->acceptor.non_blocking(true, error);
    while (!error) {
        Tcp::socket socket(this->loop.context());
        this->acceptor.accept(socket, error);
        if (!error)
            this->open(std::move(socket));
    }
}

// A connection over the limit is closed at once to bound memory.
void HttpServer::Implementation::open(Tcp::socket socket)
{
    if (this->sessions.size() >= this->settings.maxConnections)
        return;
    const auto session = std::make_shared<Session>(*this, std::move(socket));
    session->read();
    if (this->draining)
        session->closeIfIdle();
}

void HttpServer::Implementation::beginDrain()
{
    this->draining = true;
    this->keepAliveDisabled = true;
    this->acceptQueued();
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
    for (Session *session : this->sessions)
        session->closeIfIdle();
    if (this->sessions.empty())
        this->reportDrained();
}

void HttpServer::Implementation::addSession(Session &session)
{
    this->sessions.insert(&session);
}

void HttpServer::Implementation::removeSession(Session &session)
{
    this->sessions.erase(&session);
    if (this->draining && this->sessions.empty())
        this->reportDrained();
}

void HttpServer::Implementation::reportDrained()
{
    {
        const std::lock_guard lock(this->mutex);
        this->drained = true;
    }
    this->pendingChanged.notify_all();
}

// Closes the connections that hold most, until the others fit.
void HttpServer::Implementation::limitUnreadBytes()
{
    while (this->unreadBytes > this->settings.maxUnreadBytes) {
        const auto largest = std::max_element(
                this->sessions.begin(), this->sessions.end(),
                [](const Session *a, const Session *b) { return a->heldBytes() < b->heldBytes(); });
        if (largest == this->sessions.end() || (*largest)->heldBytes() == 0)
            return;
        ++this->memoryRefusals;
        // Giving up may drop the last reference to the session.
        const std::shared_ptr<Session> session = (*largest)->shared_from_this();
        session->giveUpUnread();
    }
}

void HttpServer::Implementation::handle(Command &&command)
{
    if (std::holds_alternative<BeginDrain>(command))
        return this->beginDrain();
    if (const auto *limits = std::get_if<HttpServerLimits>(&command)) {
        this->settings.maxHeaderBytes = limits->maxHeaderBytes;
        this->settings.maxBodyBytes = limits->maxBodyBytes;
        this->settings.readTimeout = limits->readTimeout;
        this->settings.idleTimeout = limits->idleTimeout;
        return;
    }
    this->respond(std::get<ServerResponse>(std::move(command)));
}

void HttpServer::Implementation::respond(ServerResponse &&response)
{
    const auto position = this->pendingSessions.find(response.token);
    if (position == this->pendingSessions.end())
        return;
    const std::shared_ptr<Session> session = position->second;
    if (!session->isInOrder(response)) {
        ++this->misplacedResponses;
        this->pendingSessions.erase(position);
        return session->breakOff();
    }
    const bool isWhole = response.part == ResponsePart::Whole;
    if (isWhole || response.part == ResponsePart::Last || response.abortConnection)
        this->pendingSessions.erase(position);
    if (isWhole)
        session->write(std::move(response));
    else
        session->writePart(std::move(response));
    this->limitUnreadBytes();
}

HttpServer::HttpServer(std::unique_ptr<Implementation> implementation)
    : implementation(std::move(implementation))
{
}

HttpServer::~HttpServer() = default;

core::Result<std::unique_ptr<HttpServer>> HttpServer::create(const HttpServerSettings &settings,
                                                             RequestHandler handler,
                                                             DisconnectHandler disconnectHandler)
{
    auto implementation = std::make_unique<Implementation>(settings, std::move(handler),
                                                           std::move(disconnectHandler));
    const core::Result<void> listening = detail::listen(implementation->acceptor, settings.address);
    if (!listening)
        return listening.error();
    Implementation &server = *implementation;
    server.port = server.acceptor.local_endpoint().port();
    server.accept();
    server.loop.start(settings.name,
                      [&server](Command &&command) { server.handle(std::move(command)); });
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(implementation)));
}

std::uint16_t HttpServer::port() const
{
    return this->implementation->port;
}

void HttpServer::respond(ServerResponse &&response)
{
    this->implementation->loop.inbox().push(std::move(response));
}

void HttpServer::setLimits(const HttpServerLimits &limits)
{
    this->implementation->loop.inbox().push(limits);
}

void HttpServer::disableKeepAlive()
{
    this->implementation->keepAliveDisabled = true;
}

bool HttpServer::drain(core::Duration timeout)
{
    Implementation &server = *this->implementation;
    server.loop.inbox().push(BeginDrain{});
    std::unique_lock lock(server.mutex);
    server.pendingChanged.wait_for(lock, timeout, [&server] { return server.drained; });
    return server.pendingResponses == 0;
}

std::uint64_t HttpServer::misplacedResponseCount() const
{
    return this->implementation->misplacedResponses;
}

std::uint64_t HttpServer::memoryRefusalCount() const
{
    return this->implementation->memoryRefusals;
}

void HttpServer::stop()
{
    this->implementation->loop.stop();
}

} // namespace geraniumpulley::net
