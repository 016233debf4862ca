#pragma once

#include <geraniumpulley/core/http_header.hpp>
#include <geraniumpulley/core/result.hpp>
#include <geraniumpulley/core/shared_bytes.hpp>
#include <geraniumpulley/core/time.hpp>
#include <geraniumpulley/net/http_server.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace geraniumpulley::net {

/// Why a request or message has no complete response.
enum class SendFailure {
    None, ///< There is a complete response.
    NotSent, ///< No byte of the request was sent, or the peer rejected it unprocessed. A request
             ///< that `core::isSendable` does not allow is never sent.
    AnswerLost, ///< Bytes may have been sent, but no complete response with the right id was
                ///< received.
};

/// The outcome of a request.
struct HttpResult
{
    SendFailure failure = SendFailure::None;
    std::uint32_t status = 0;
    std::string contentType;
    std::string body;
    std::vector<core::HttpHeader> headers = {};
    /// Whether the length of the response was known from its framing. A response that ends with its
    /// connection may be truncated.
    bool isSelfDelimited = true;
    bool isDeliveredInParts = false; ///< The body was passed to `HttpRequest::onBodyPart`.
    /// The server closed or reset the connection before its response was complete.
    bool closedByServer = false;
    /// The response was given up because it, or all responses together, took too much memory.
    bool exceedsMemory = false;
};

/// The status and headers of a response whose body is delivered in parts.
struct HttpResponseHead
{
    std::uint32_t status = 0;
    std::vector<core::HttpHeader> headers;
};

/// Identifies a request for `HttpClient::cancel`; 0 stands for none.
enum class CancelKey : std::uint64_t {};

/// A request to an HTTP server.
struct HttpRequest
{
    std::string address; ///< "ip:port".
    std::string method;
    std::string target;
    std::string contentType;
    core::SharedBytes body;
    /// Sent as `idHeader`. A response with another id is `AnswerLost`, and so is one without an id
    /// on a reused connection.
    std::string requestId;
    /// When the response must be complete. A request that has not been written by then, because it
    /// waited in the ring or for its connection, fails as `NotSent`.
    core::Time deadline{};
    /// Called exactly once, on the client's thread, unless the client is stopped first. May block
    /// on a ring that its duty drains.
    std::function<void(HttpResult &&)> done;
    /// When set, receives the body of a response with status 200 in parts as they arrive, before
    /// `done`, whose result then has no body. The parts are not stored, so that the body may have
    /// any length. \return whether the part is progress, which starts the read timeout again.
    std::function<bool(std::string &&)> onBodyPart = {};
    /// The media type of the responses whose body is delivered in parts; if empty, any. The body of
    /// a response with another type is stored, up to a limit.
    std::string bodyPartType = {};
    /// When set together with `onBodyPart`, receives the status and headers of a response whose
    /// body is delivered in parts.
    std::function<void(HttpResponseHead &&)> onResponseHead = {};
    std::vector<core::HttpHeader> headers = {};
    std::string idHeader = "X-Request-Id";
    std::string host = {}; ///< Value of the Host header; if empty, the address is sent.
    /// Whether to use a pooled connection and return it to the pool afterwards.
    bool reuseConnection = false;
    /// Time limit for opening the connection. If it is 0, only the deadline applies.
    core::Duration connectTimeout{};
    /// Time limit for the response, or for each progress of it if `onBodyPart` is set: its head,
    /// then the parts that `onBodyPart` calls so. If it is 0, only the deadline applies.
    core::Duration readTimeout{};
    CancelKey cancelKey{}; ///< Identifies the request for `HttpClient::cancel`.
    /// When set, asked on the client's thread right before the request is written; if it returns
    /// false, the request fails as `NotSent`.
    std::function<bool()> mayWrite = {};
};

/// What came of opening a connection.
enum class ConnectOutcome { Accepted, Refused, TimedOut };

/// Opens a connection to a server and closes it again.
struct ConnectProbe
{
    std::string address; ///< "ip:port".
    core::Duration timeout{};
    /// Called exactly once, on the client's thread, unless the client is stopped first.
    std::function<void(ConnectOutcome)> done;
};

/// The settings of an `HttpClient`.
struct HttpClientSettings
{
    std::string name = "targets"; ///< Name of the thread.
    std::size_t ringCapacity = 4096;
    std::size_t maxBodyBytes = 8 * 1024 * 1024;
    /// Limit on the bytes of all responses that are not complete. Beyond it, the response that
    /// takes most is given up as `AnswerLost`.
    std::size_t maxBufferedBytes = 24 * 1024 * 1024;
    /// How long a pooled connection is reused when its server sends no Keep-Alive timeout.
    core::Duration idleTimeout = std::chrono::seconds(2);
    /// How long sent bytes may stay unacknowledged before the connection fails (TCP_USER_TIMEOUT).
    core::Duration tcpUserTimeout = std::chrono::seconds(3);
};

/// An HTTP/1.1 client on a dedicated thread.
///
/// A request is sent once and never retried by the library, whereas cpprest's client retries
/// requests on reused connections (docs/DESIGN.md has the measurement). A request that does not
/// allow reuse has its own connection, so that a late response cannot be matched to another
/// request.
class HttpClient
{
public:
    static core::Result<std::unique_ptr<HttpClient>> create(const HttpClientSettings &settings);
    ~HttpClient();

    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends a request. Thread-safe, never blocks. When the ring is full, `done` is called at once
    /// on the calling thread with `NotSent`.
    void send(HttpRequest &&request);

    /// Cancels a request: its connection is closed and its `done` is called with a failure. Has no
    /// effect on a request that has completed. Thread-safe, never blocks.
    /// \return false when the ring is full; the request then continues.
    bool cancel(CancelKey key);

    /// Probes a server. Thread-safe, never blocks. When the ring is full, `done` is called at once
    /// on the calling thread with `TimedOut`.
    void probe(ConnectProbe &&probe);

    /// \return the number of responses that were given up because of their size.
    [[nodiscard]] std::uint64_t oversizedResponseCount() const;

    /// \return the number of connections opened so far.
    [[nodiscard]] std::uint64_t connectionsOpened() const;

    /// Stops the thread. No callback runs after it returns, and later requests fail at once.
    void stop();

private:
    struct Implementation;
    explicit HttpClient(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> implementation;
};

} // namespace geraniumpulley::net
