#pragma once

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
};

struct HttpRequest
{
    std::string address; ///< "ip:port".
    std::string method;
    std::string target;
    std::string contentType;
    std::string body;
    std::string requestId; ///< Sent as X-Request-Id; an answer that echoes another is `Lost`.
    core::Time deadline{};
    /// Runs on the caller's thread, exactly once; may block on a ring that its duty drains.
    std::function<void(HttpResult &&)> done;
    /// When set, takes the body of an answer with status 200 piece by piece as it arrives, before
    /// `done`, whose result then has no body. Pieces are not kept, so the body may have any length.
    std::function<void(std::string &&)> onPart = {};
};

struct CallerSettings
{
    std::string name = "targets"; ///< Of the thread.
    std::size_t ringCapacity = 4096;
    std::size_t maxBodyBytes = 8 * 1024 * 1024;
};

/// An HTTP/1.1 client on a thread of its own.
///
/// Each request has a connection of its own and is sent once: a late answer cannot meet another
/// request, and the library never repeats a POST. cpprest's client does repeat one on a reused
/// connection; docs/DESIGN.md has the measurement.
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

private:
    struct Implementation;
    explicit HttpCaller(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> implementation;
};

} // namespace geraniumpulley::net
