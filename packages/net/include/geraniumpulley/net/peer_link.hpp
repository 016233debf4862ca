#pragma once

#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/core/result.hpp>
#include <geraniumpulley/core/time.hpp>
#include <geraniumpulley/net/http_caller.hpp>

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
    std::string path; ///< Tells the kind of the message.
    std::string body;
};

struct PeerReply
{
    SendFailure failure = SendFailure::None;
    std::string body;
};

struct PeerRequest
{
    std::string address; ///< "ip:port" of the other node's peer listener.
    std::string path;
    std::string body;
    core::Time deadline{};
    /// Runs on the link's thread, exactly once; may block on a ring that its duty drains.
    std::function<void(PeerReply &&)> done;
};

struct PeerSettings
{
    std::string address = "127.0.0.1:0";
    std::size_t ringCapacity = 8192;
    std::size_t maxBodyBytes = 64 * 1024 * 1024;
};

/// HTTP/2 streams between the nodes (nghttp2), on one thread for both directions.
///
/// A connection to another node is opened at the first message to it and carries all later ones.
class PeerLink
{
public:
    /// Runs on the link's thread and must not block.
    /// \return false when the message cannot be taken; the sender then sees `NotSent`.
    using MessageHandler = std::function<bool(PeerMessage &&)>;

    /// \return the listening link, or `Errc::BadAddress`, `Errc::ListenFailed`.
    static core::Result<std::unique_ptr<PeerLink>> create(const PeerSettings &settings,
                                                          MessageHandler handler);
    ~PeerLink();

    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    /// \return the port that it listens on.
    [[nodiscard]] std::uint16_t port() const;

    /// \return the bytes read and written on all connections so far.
    [[nodiscard]] std::uint64_t traffic() const;

    /// Sends a message; from any thread, never blocks. When the ring is full, `done` runs at once
    /// on the calling thread with `NotSent`.
    void send(PeerRequest &&request);

    /// Replies to a message; from any thread, never blocks. A reply that finds the ring full or
    /// its stream gone is dropped, and the sender sees `Lost` at its deadline.
    void reply(core::ReplyToken token, std::string body);

    /// Ends the thread; no callback runs after it returns, and what is sent later fails at once.
    void stop();

private:
    struct Implementation;
    explicit PeerLink(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> implementation;
};

} // namespace geraniumpulley::net
