#pragma once

#include <geraniumpulley/core/http_header.hpp>
#include <geraniumpulley/core/result.hpp>
#include <geraniumpulley/core/time.hpp>
#include <geraniumpulley/net/http_door.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace geraniumpulley::net {

enum class SendFailure {
    None,
    NotSent, ///< No byte of the request left.
    Lost, ///< Bytes left, and no whole answer with the right id came.
};

struct HttpResult
{
    SendFailure failure = SendFailure::None;
    std::uint32_t status = 0;
    std::string contentType;
    std::string body;
    std::vector<core::HttpHeader> headers = {};
    /// Whether the answer told where it ends; one that ends with its connection may be cut off.
    bool framed = true;
};

/// Status and headers of an answer whose body follows in pieces.
struct HttpHead
{
    std::uint32_t status = 0;
    std::vector<core::HttpHeader> headers;
};

/// Names a request for `HttpCaller::cancel`; 0 names none.
enum class CancelKey : std::uint64_t {};

struct HttpRequest
{
    std::string address; ///< "ip:port".
    std::string method;
    std::string target;
    std::string contentType;
    std::string body;
    std::string requestId; ///< Sent as `idHeader`; an answer that echoes another is `Lost`.
    core::Time deadline{};
    /// Runs on the caller's thread, exactly once; may block on a ring that its duty drains.
    std::function<void(HttpResult &&)> done;
    /// When set, takes the body of an answer with status 200 piece by piece as it arrives, before
    /// `done`, whose result then has no body. Pieces are not kept, so the body may have any length.
    std::function<void(std::string &&)> onPart = {};
    /// When set together with `onPart`, takes the head of an answer with status 200.
    std::function<void(HttpHead &&)> onHead = {};
    std::vector<core::HttpHeader> headers = {};
    std::string idHeader = "X-Request-Id";
    std::string host = {}; ///< The Host header; the address when empty.
    bool reuse = false; ///< May use a kept connection, and leaves its own for later requests.
    core::Duration connectLimit{}; ///< For opening the connection; 0 for the deadline alone.
    core::Duration silenceLimit{}; ///< Without any byte of the answer; 0 for the deadline alone.
    CancelKey cancelKey{};
};

struct CallerSettings
{
    std::string name = "targets"; ///< Of the thread.
    std::size_t ringCapacity = 4096;
    std::size_t maxBodyBytes = 8 * 1024 * 1024;
    core::Duration idleLimit = std::chrono::seconds(2); ///< Of a kept connection, if none is told.
    core::Duration unacknowledgedLimit = std::chrono::seconds(3); ///< TCP_USER_TIMEOUT.
};

/// An HTTP/1.1 client on a thread of its own.
///
/// A request is sent once: the library never repeats it. Unless a request allows reuse it has a
/// connection of its own, so that a late answer cannot meet another request; cpprest's client
/// repeats requests on reused connections (docs/DESIGN.md has the measurement).
class HttpCaller
{
public:
    static core::Result<std::unique_ptr<HttpCaller>> create(const CallerSettings &settings);
    ~HttpCaller();

    HttpCaller(const HttpCaller &) = delete;
    HttpCaller &operator=(const HttpCaller &) = delete;

    /// Sends a request; from any thread, never blocks. When the ring is full, `done` runs at once
    /// on the calling thread with `NotSent`.
    void send(HttpRequest &&request);

    /// Breaks a request off: its connection is closed and its `done` runs as for a failure. From
    /// any thread, never blocks. A request that has ended is left alone. \return false when the
    /// ring is full; the request then goes on.
    bool cancel(CancelKey key);

    /// \return connections opened so far.
    [[nodiscard]] std::uint64_t connectionsOpened() const;

    /// Ends the thread; no callback runs after it returns, and what is sent later fails at once.
    void stop();

private:
    struct Implementation;
    explicit HttpCaller(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> implementation;
};

} // namespace geraniumpulley::net
