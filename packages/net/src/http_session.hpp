#pragma once

#include "http_server_implementation.hpp"

#include <geraniumpulley/core/limits/connection_use.hpp>
#include <geraniumpulley/runtime/clock.hpp>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstring>
#include <deque>
#include <exception>
#include <optional>
#include <sstream>
#include <string>
#include <utility>

namespace geraniumpulley::net {

namespace beast = boost::beast;
namespace http = boost::beast::http;

// A connection is closed when its client lags behind the response by more parts than this, which
// bounds memory.
inline constexpr std::size_t maxQueuedParts = 1024;

// Size of the first read of a request; the rest of the header and the body use the same buffer.
inline constexpr std::size_t firstReadBytes = 4096;

// Room for one read of a body, behind which at most the limit of a header is buffered: chunk
// extensions and trailers are parsed only when they are complete, and count as header.
inline constexpr std::size_t bodyReadBytes = 16 * 1024;

// Sent with a refusal for want of connections or memory.
inline constexpr std::chrono::seconds retryAfter{1};

inline constexpr const char *requestIdHeader = "X-Request-Id";
inline constexpr const char *queueFullResponseBody =
        R"({"outcome":"not_run","reason":"queue_full"})";

/// \return whether a request is read alike by all that handle it: it has one host at most, and a
/// body whose end the last transfer coding tells (RFC 9112, 3.2 and 6.3). TRACE has no body.
inline bool isFramingClear(const http::request<http::string_body> &request)
{
    const bool hasCoding = request.count(http::field::transfer_encoding) > 0;
    const bool hasBody = hasCoding || request.count(http::field::content_length) > 0;
    return request.count(http::field::host) <= 1 && (!hasCoding || request.chunked())
           && !(request.method() == http::verb::trace && hasBody);
}

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
        this->awaitClient();
        if (this->buffer.size() > 0)
            return this->readHeader();
        this->releaseBuffers();
        this->isIdle = true;
        this->stream.expires_after(this->server.settings.idleTimeout);
        this->stream.async_read_some(
                this->buffer.prepare(firstReadBytes),
                [self = this->shared_from_this()](beast::error_code error, std::size_t size) {
                    self->isIdle = false;
                    if (self->isClosed)
                        return;
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
        this->releaseRequest();
        this->message = {};
        this->message.version(11);
        this->message.result(response.status);
        if (!response.contentType.empty())
            this->message.set(http::field::content_type, response.contentType);
        for (const HttpHeader &header : response.headers)
            this->message.insert(header.name, header.value);
        if (!this->requestId.empty())
            this->message.set(requestIdHeader, this->requestId);
        if (!this->isHeadRequest)
            this->message.body() = std::move(response.body);
        this->keepAlive = this->keepAlive && !this->server.keepAliveDisabled;
        this->message.keep_alive(this->keepAlive);
        this->message.prepare_payload();
        this->holdUnread(this->message.body().size());
        this->awaitReader();
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

    // Whether the server waits for the client, and not the client for the server.
    [[nodiscard]] bool awaitsClient() const { return !this->isClosed && this->isAwaitingClient; }

    [[nodiscard]] core::ConnectionUse use() const
    {
        return {this->awaitingSince, this->receivedBytes + this->buffer.size(),
                this->isReading ? this->requestBytes() : 0};
    }

    // Memory of the request and of what follows it, from its first byte until its response is
    // written.
    [[nodiscard]] std::size_t requestBytes() const
    {
        if (this->isClosed)
            return 0;
        const std::size_t body = this->parser ? this->parser->get().body().size() : 0;
        return this->buffer.capacity() + this->headBytes + this->servedBodyBytes + body;
    }

    // Whether the connection may be closed in favour of another one: no request has just arrived.
    bool mayGiveWay() { return !this->isIdle || !this->hasUnreadBytes(); }

    void giveWay()
    {
        if (!this->isReading) {
            this->giveUpUnread();
        } else {
            if (!this->isIdle)
                this->refuseUnread();
            this->breakOff();
        }
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
        if (this->isHeadRequest)
            response.body.clear();
        this->holdUnread(sizeof(ServerResponse) + response.body.size());
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

    void awaitClient()
    {
        this->isAwaitingClient = true;
        this->awaitingSince = runtime::now();
        this->receivedBytes = 0;
        this->isReading = true;
    }

    // An idle connection keeps no more than its first read takes.
    void releaseBuffers()
    {
        this->buffer.clear();
        this->buffer.shrink_to_fit();
        this->message = {};
        this->chunk = std::string();
    }

    void awaitReader()
    {
        this->isAwaitingClient = true;
        this->awaitingSince = runtime::now();
        this->receivedBytes = 0;
        this->isReading = false;
    }

    // Answers a request that has not been read whole, as far as the client takes the answer without
    // a wait.
    void refuseUnread()
    {
        static const std::string response = fmt::format(
                "HTTP/1.1 503 Service Unavailable\r\nRetry-After: {}\r\nConnection: close\r\n"
                "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
                retryAfter.count(), std::strlen(queueFullResponseBody), queueFullResponseBody);
        beast::error_code ignored;
        this->stream.socket().non_blocking(true, ignored);
        this->stream.socket().send(asio::buffer(response), 0, ignored);
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
                [self = this->shared_from_this()](beast::error_code error, std::size_t size) {
                    self->receivedBytes += size;
                    if (!self->isClosed)
                        self->onHeader(error, size);
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
        this->writtenPartBytes = sizeof(ServerResponse) + part.body.size();
        if (part.part == ResponsePart::First)
            this->chunk = this->encodeHeader(part);
        if (!part.body.empty())
            append(http::make_chunk(asio::buffer(part.body)));
        part.body = std::string(); // The chunk holds it now.
        if (part.part == ResponsePart::Last && !this->isHeadRequest)
            append(http::make_chunk_last());
        this->awaitReader();
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
        this->releaseUnread(this->writtenPartBytes);
        this->parts.pop_front();
        if (isLast)
            return this->onWritten(error);
        this->stream.expires_never();
        this->isAwaitingClient = false;
        if (!this->parts.empty())
            this->writeNextPart();
    }

    // What a head takes as the fields of the parser, of the request and of one attempt at a target.
    [[nodiscard]] std::size_t costOfHead(std::size_t headerBytes) const
    {
        constexpr std::size_t copies = 3;
        constexpr std::size_t bytesPerField = 224;
        const auto &fields = this->parser->get();
        const auto count = static_cast<std::size_t>(std::distance(fields.begin(), fields.end()));
        return copies * headerBytes + bytesPerField * count;
    }

    void onHeader(beast::error_code error, std::size_t headerBytes)
    {
        this->requestId.clear();
        this->isHeadRequest = this->parser->get().method() == http::verb::head;
        if (error)
            return this->onRead(error);
        this->requestId = std::string(this->parser->get()[requestIdHeader]);
        this->headBytes = this->costOfHead(headerBytes);
        if (!isFramingClear(this->parser->get()))
            return this->reject(400, "malformed_request");
        if (this->parser->content_length().value_or(0) > this->server.settings.maxBodyBytes)
            return this->reject(413, "body_too_large");
        this->readBody();
    }

    // The limit for all connections counts the bytes that have been read, not the announced
    // lengths.
    void readBody()
    {
        this->server.limitRequestBytes();
        if (this->isClosed)
            return;
        if (this->parser->is_done())
            return this->onRead({});
        this->stream.expires_after(this->server.settings.readTimeout);
        http::async_read_some(
                this->stream, this->buffer, *this->parser,
                [self = this->shared_from_this()](beast::error_code error, std::size_t size) {
                    self->receivedBytes += size;
                    if (self->isClosed)
                        return;
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
        request.headers.reserve(
                static_cast<std::size_t>(std::distance(message.begin(), message.end())));
        for (const auto &header : message)
            request.headers.push_back(
                    {std::string(header.name_string()), std::string(header.value())});
        request.body = std::move(this->parser->get().body());
        this->servedBodyBytes = request.body.size();
        this->parser.reset();
        this->stream.expires_never();
        this->isAwaitingClient = false;
        this->isReading = false;
        const core::ReplyToken token = request.token;
        this->currentToken = token;
        this->server.pendingSessions.emplace(token, this->shared_from_this());
        this->responsePending = true;
        this->partsBegun = false;
        this->server.updatePendingResponses(true);
        if (this->handle(std::move(request))) {
            if (this->server.disconnectHandler)
                this->watchForDisconnect(token);
            return;
        }
        if (this->isClosed)
            return;
        this->server.pendingSessions.erase(token);
        this->write({token, 503, "application/json", {}, queueFullResponseBody, false});
    }

    // Whether a request that causes an exception has run is not known, so it gets no answer.
    bool handle(ServerRequest &&request)
    {
        try {
            return this->server.handler(std::move(request));
        } catch (const std::exception &) {
            ++this->server.handlerFailures;
            this->giveUpUnread();
            return false;
        }
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

    void releaseRequest()
    {
        this->headBytes = 0;
        this->servedBodyBytes = 0;
    }

    void releasePending()
    {
        this->releaseRequest();
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
    std::size_t headBytes = 0; // Memory of the head of the request, once it is complete.
    std::size_t servedBodyBytes = 0; // Of the body of the request in service.
    std::size_t writtenPartBytes = 0; // Held by the part that is being written.
    std::size_t unreadBytes = 0; // Of responses that are not written yet.
    core::ReplyToken currentToken{};
    bool responsePending = false;
    bool partsBegun = false; // The first part of the pending response was accepted.
    bool keepAlive = false;
    bool isHeadRequest = false; // The response has no body.
    core::Time awaitingSince{}; // When the server began to wait for the client.
    std::size_t receivedBytes = 0; // Since then, without those in the buffer.
    bool isAwaitingClient = false; // For a request, or for a response to be read.
    bool isReading = false; // A request is awaited or incomplete.
    bool isIdle = false; // No byte of a request has been read.
    bool isClosed = false; // What is queued is dropped.
};

} // namespace geraniumpulley::net
