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

/// \return the value of the first header of that name, in any case of letters, or "".
std::string findHeader(const std::vector<HttpHeader> &headers, const std::string &name);

struct DoorRequest
{
    core::ReplyToken token{};
    std::string method;
    std::string target; ///< Path and query.
    std::vector<HttpHeader> headers;
    std::string body;
};

/// Which piece of an answer a `DoorAnswer` carries; one that is not whole is sent in chunks.
enum class AnswerPart {
    Whole,
    First, ///< Status, headers and a first piece of the body.
    More,
    Last, ///< Ends the body; later parts are ignored.
};

struct DoorAnswer
{
    core::ReplyToken token{};
    std::uint32_t status = 200;
    std::string contentType = "application/json"; ///< Left out when empty.
    std::vector<HttpHeader> headers;
    std::string body;
    bool drop = false; ///< Closes the connection without an answer, or within one.
    AnswerPart part = AnswerPart::Whole;
};

struct DoorSettings
{
    std::string name = "door"; ///< Of the thread.
    std::string address = "127.0.0.1:0"; ///< Port 0 lets the system choose.
    std::size_t maxConnections = 1024;
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 1024 * 1024;
    std::size_t maxBufferedBytes = 32 * 1024 * 1024; ///< Bodies of all connections together.
    core::Duration readTimeout = std::chrono::seconds(10); ///< For headers, and between body bytes.
    core::Duration writeTimeout = std::chrono::seconds(10);
    core::Duration idleTimeout = std::chrono::seconds(10); ///< Of a connection without a request.
};

/// What a door allows its clients; may change while it is open.
struct DoorLimits
{
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 1024 * 1024;
    core::Duration headerTimeout = std::chrono::seconds(10);
    core::Duration idleTimeout = std::chrono::seconds(10);
};

/// An HTTP/1.1 server on a thread of its own, with limits on connections, headers, bodies and
/// time.
///
/// One request at a time is taken from a connection. Boost.Beast is used instead of cpprest's
/// listener, which has none of these limits; docs/DESIGN.md has the measurement.
class HttpDoor
{
public:
    /// Runs on the door's thread and must not block.
    /// \return false when the request cannot be taken; the door then answers 503 `not_run`.
    using RequestHandler = std::function<bool(DoorRequest &&)>;
    /// Told on the door's thread that a client left before its answer; must not block.
    using GoneHandler = std::function<void(core::ReplyToken)>;

    /// \return the listening door, or `Errc::BadAddress`, `Errc::ListenFailed`.
    static core::Result<std::unique_ptr<HttpDoor>>
    create(const DoorSettings &settings, RequestHandler handler, GoneHandler goneHandler = {});
    ~HttpDoor();

    HttpDoor(const HttpDoor &) = delete;
    HttpDoor &operator=(const HttpDoor &) = delete;

    /// \return the port that it listens on.
    [[nodiscard]] std::uint16_t port() const;

    /// Answers a request; from any thread. Its ring holds one answer for each connection, so it
    /// has room for every request that was taken. An unknown token is ignored.
    void answer(DoorAnswer &&answer);

    /// Changes the limits for requests that come from now on; from any thread.
    void setLimits(const DoorLimits &limits);

    /// Ends each connection after its next answer from now on; from any thread.
    void closeAfterAnswers();

    /// Waits until no request that was taken is without its written answer.
    /// \return false when that lasts longer than `limit`.
    bool waitUntilWritten(core::Duration limit);

    /// Ends the thread; no callback runs after it returns, and what is sent later fails at once.
    void stop();

private:
    struct Implementation;
    explicit HttpDoor(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> implementation;
};

} // namespace geraniumpulley::net
