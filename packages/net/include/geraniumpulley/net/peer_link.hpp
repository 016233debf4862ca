#pragma once

#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/core/result.hpp>
#include <geraniumpulley/core/time.hpp>
#include <geraniumpulley/net/http_client.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace geraniumpulley::net {

/// A message from another node.
struct PeerMessage
{
    core::ReplyToken token{};
    std::string path; ///< Identifies the kind of the message.
    std::string body;
};

/// The reply of another node, or the reason why there is none.
struct PeerReply
{
    SendFailure failure = SendFailure::None;
    std::string body;
};

/// A message to another node.
struct PeerRequest
{
    std::string address; ///< "ip:port" of the other node's peer listener.
    std::string path;
    std::string body;
    core::Time deadline{};
    /// Called exactly once, on the link's thread, unless the link is stopped first. May block on a
    /// ring that its duty drains.
    std::function<void(PeerReply &&)> done;
};

/// The settings of a `PeerLink`.
struct PeerLinkSettings
{
    std::string address = "127.0.0.1:0"; ///< The system chooses the port when it is 0.
    std::size_t ringCapacity = 8192;
    std::size_t maxBodyBytes = 64 * 1024 * 1024;
};

/// The message transport between the nodes: HTTP/2 (nghttp2), on one thread for both directions.
///
/// The connection to another node is opened by the first message to it and multiplexes all later
/// messages.
class PeerLink
{
public:
    /// Called on the link's thread; must not block.
    /// \return false to reject the message; the sender then sees `NotSent`.
    using MessageHandler = std::function<bool(PeerMessage &&)>;

    /// \return the listening link, or `Errc::BadAddress` or `Errc::ListenFailed`.
    static core::Result<std::unique_ptr<PeerLink>> create(const PeerLinkSettings &settings,
                                                          MessageHandler handler);
    ~PeerLink();

    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    /// \return the port that the link listens on.
    [[nodiscard]] std::uint16_t port() const;

    /// \return the number of bytes read and written on all connections so far.
    [[nodiscard]] std::uint64_t trafficBytes() const;

    /// Sends a message. Thread-safe, never blocks. When the ring is full, `done` is called at once
    /// on the calling thread with `NotSent`.
    void send(PeerRequest &&request);

    /// Replies to a message. Thread-safe, never blocks. When the ring is full or the stream has
    /// closed, the reply is dropped, and the sender sees `AnswerLost` at its deadline.
    void reply(core::ReplyToken token, std::string body);

    /// Waits until the earlier replies have been passed to their connections.
    /// \return false if `timeout` passed first or the ring is full.
    bool flush(core::Duration timeout);

    /// Stops the thread. No callback runs after it returns, and later messages fail at once.
    void stop();

private:
    struct Implementation;
    explicit PeerLink(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> implementation;
};

} // namespace geraniumpulley::net
