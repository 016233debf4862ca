#pragma once

#include <geraniumpulley/core/http_header.hpp>
#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/core/result.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace geraniumpulley::net {

using core::HttpHeader;

/// Looks up a header by its name, ignoring case.
/// \return the value of the first match, or "".
std::string findHeader(const std::vector<HttpHeader> &headers, const std::string &name);

/// A request that a server received.
struct ServerRequest
{
    core::ReplyToken token{};
    std::string method;
    std::string target; ///< The path with the query.
    std::vector<HttpHeader> headers;
    std::string body;
};

/// Which part of a response a `ServerResponse` carries. A response in several parts is sent with
/// chunked transfer encoding.
enum class ResponsePart {
    Whole, ///< The complete response.
    First, ///< The status, the headers and the first part of the body.
    More, ///< A further part of the body.
    Last, ///< The last part of the body; later parts are ignored.
};

/// A response, or a part of one.
struct ServerResponse
{
    core::ReplyToken token{};
    std::uint32_t status = 200;
    /// No Content-Type header is sent when this is empty.
    std::string contentType = "application/json";
    std::vector<HttpHeader> headers;
    std::string body;
    bool abortConnection = false; ///< Closes the connection before the end of the response.
    ResponsePart part = ResponsePart::Whole;
};

/// The settings of an `HttpServer`.
struct HttpServerSettings
{
    std::string name = "door"; ///< Name of the thread.
    std::string address = "127.0.0.1:0"; ///< The system chooses the port when it is 0.
    /// Beyond this, a new connection takes the place of the one whose client has made the server
    /// wait longest, but for progress at the rate of a slow link.
    std::size_t maxConnections = 1024;
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 1024 * 1024;
    /// Limit for the memory of the requests on all connections, from their first bytes until their
    /// responses are written. Beyond it, the connections whose incomplete requests have occupied
    /// most memory for the longest time are closed.
    std::size_t maxRequestBytes = 32 * 1024 * 1024;
    /// Limit for the total size of the responses that clients have not read. Beyond it, the
    /// connection that holds most of them is closed.
    std::size_t maxUnreadBytes = 24 * 1024 * 1024;
    /// Time limit for reading the headers, and for each read of the body.
    core::Duration readTimeout = std::chrono::seconds(10);
    /// Time limit for each write of a response.
    core::Duration writeTimeout = std::chrono::seconds(10);
    /// How long a connection without a request stays open.
    core::Duration idleTimeout = std::chrono::seconds(10);
};

/// Limits that can be changed while the server runs.
struct HttpServerLimits
{
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 1024 * 1024;
    /// Time limit for reading the headers, and for each read of the body.
    core::Duration readTimeout = std::chrono::seconds(10);
    /// How long a connection without a request stays open.
    core::Duration idleTimeout = std::chrono::seconds(10);
};

/// An HTTP/1.1 server on a dedicated thread, with limits on connections, header size, body size and
/// time.
///
/// Each connection serves one request at a time. The server uses Boost.Beast, because cpprest's
/// listener has none of these limits; docs/DESIGN.md has the measurement.
class HttpServer
{
public:
    /// Called on the server's thread; must not block.
    /// \return false to reject the request; the server then responds with 503 `not_run`.
    using RequestHandler = std::function<bool(ServerRequest &&)>;
    /// Called on the server's thread when a client has disconnected before its response; must not
    /// block.
    using DisconnectHandler = std::function<void(core::ReplyToken)>;

    /// \return the listening server, or `Errc::BadAddress` or `Errc::ListenFailed`.
    static core::Result<std::unique_ptr<HttpServer>>
    create(const HttpServerSettings &settings, RequestHandler handler,
           DisconnectHandler disconnectHandler = {});
    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// \return the port that the server listens on.
    [[nodiscard]] std::uint16_t port() const;

    /// Responds to a request. An unknown token is ignored. A response that begins although its
    /// first part was sent, or goes on although none was, closes the connection. Thread-safe;
    /// blocks while the ring is full. The ring holds one response for each connection, so that
    /// there is room for every accepted request.
    void respond(ServerResponse &&response);

    /// Changes the limits for later requests. Thread-safe.
    void setLimits(const HttpServerLimits &limits);

    /// From now on, closes each connection after its next response. Thread-safe.
    void disableKeepAlive();

    /// Accepts no further connection, closes those without a request, and waits until the requests
    /// that have begun to arrive are answered and their connections closed.
    /// \return whether no answer is owed any more when it returns, after `timeout` at the latest.
    bool drain(core::Duration timeout);

    /// \return the number of responses that did not follow the parts sent before them.
    [[nodiscard]] std::uint64_t misplacedResponseCount() const;

    /// \return the number of connections that were closed in favour of others while the server
    /// waited for their clients.
    [[nodiscard]] std::uint64_t displacedConnectionCount() const;

    /// \return the number of connections that were closed at once, since all others had requests
    /// in service.
    [[nodiscard]] std::uint64_t refusedConnectionCount() const;

    /// \return the number of requests and connections that ended with an exception.
    [[nodiscard]] std::uint64_t failureCount() const;

    /// \return the number of connections that could not be accepted, for want of descriptors.
    [[nodiscard]] std::uint64_t acceptFailureCount() const;

    /// \return the number of requests that were refused, and of connections that were closed,
    /// because of the memory that they would have taken.
    [[nodiscard]] std::uint64_t memoryRefusalCount() const;

    /// Stops the thread. No callback runs after it returns, and later responses are discarded.
    void stop();

private:
    struct Implementation;
    explicit HttpServer(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> implementation;
};

} // namespace geraniumpulley::net
