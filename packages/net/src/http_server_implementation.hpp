#pragma once

#include <geraniumpulley/net/detail/event_loop.hpp>
#include <geraniumpulley/net/http_server.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <utility>
#include <variant>

namespace geraniumpulley::net {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

/// What the listener and the connections of an `HttpServer` share.
struct HttpServer::Implementation
{
    class Session;
    struct BeginDrain
    {
    };
    using Command = std::variant<ServerResponse, HttpServerLimits, BeginDrain>;

    Implementation(const HttpServerSettings &settings, RequestHandler handler,
                   DisconnectHandler disconnectHandler)
        : settings(settings), handler(std::move(handler)),
          disconnectHandler(std::move(disconnectHandler)), loop(settings.maxConnections),
          acceptor(loop.context()), acceptTimer(loop.context())
    {
    }

    ~Implementation() { this->loop.stop(); }

    void accept();
    void acceptLater();
    void acceptQueued();
    void open(Tcp::socket socket);
    bool closeMostStalled();
    std::shared_ptr<Session> findLargest(const std::function<double(const Session &)> &valueOf);
    void beginDrain();
    void addSession(Session &session);
    void removeSession(Session &session);
    void reportDrained();
    void limitRequestBytes();
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
    std::atomic<std::uint64_t> acceptFailures = 0;
    std::atomic<std::uint64_t> handlerFailures = 0;
    std::atomic<std::uint64_t> displacedConnections = 0;
    std::atomic<std::uint64_t> refusedConnections = 0;
    std::mutex mutex;
    std::condition_variable pendingChanged;
    int pendingResponses = 0; // Guarded by `mutex`.
    bool drained = false; // Guarded by `mutex`.
    // This and all members below are used on the loop's thread only.
    std::set<Session *> sessions;
    bool draining = false;
    std::size_t unreadBytes = 0; // Of responses that are not written yet.
    detail::EventLoop<Command> loop;
    Tcp::acceptor acceptor;
    boost::asio::steady_timer acceptTimer;
    core::ReplyToken nextToken{1};
    std::map<core::ReplyToken, std::shared_ptr<Session>> pendingSessions;
};

} // namespace geraniumpulley::net
