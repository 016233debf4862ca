#include <geraniumpulley/net/peer_link.hpp>

#include <geraniumpulley/net/detail/event_loop.hpp>
#include <geraniumpulley/net/detail/h2_session.hpp>

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <atomic>
#include <map>
#include <utility>
#include <variant>
#include <vector>

namespace geraniumpulley::net {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using detail::H2Session;

constexpr std::size_t maxPendingPerPeer = 1024;

struct ReplyOrder
{
    core::ReplyToken token{};
    std::string body;
};

using PeerOrder = std::variant<PeerRequest, ReplyOrder>;

// A request that waits for its reply, with the timer of its deadline.
struct OpenRequest
{
    OpenRequest(asio::io_context &io, PeerRequest &&request)
        : request(std::move(request)), timer(io)
    {
    }

    void finish(SendFailure failure, std::string body)
    {
        this->timer.cancel();
        if (std::exchange(this->finished, true))
            return;
        this->request.done({failure, std::move(body)});
    }

    PeerRequest request;
    asio::steady_timer timer;
    bool finished = false;
};

using OpenRequestPointer = std::shared_ptr<OpenRequest>;

// The connection to one other node; opened by the first request.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(asio::io_context &io, std::string address, std::size_t maxBodyBytes,
               std::function<void()> onClosed, std::function<void(std::size_t)> onTraffic)
        : io(io), socket(io), address(std::move(address)), maxBodyBytes(maxBodyBytes),
          onClosed(std::move(onClosed)), onTraffic(std::move(onTraffic))
    {
    }

    void open()
    {
        const auto endpoint = detail::parseAddress(this->address);
        if (!endpoint)
            return this->fail();
        this->socket.async_connect(endpoint.value(), [self = this->shared_from_this()](
                                                             boost::system::error_code error) {
            if (error)
                self->fail();
            else
                self->onConnected();
        });
    }

    void send(PeerRequest &&request)
    {
        const auto open = std::make_shared<OpenRequest>(this->io, std::move(request));
        if (!this->session && this->pending.size() >= maxPendingPerPeer)
            return open->finish(SendFailure::NotSent, {});
        open->timer.expires_at(open->request.deadline);
        open->timer.async_wait(
                [self = this->shared_from_this(), open](boost::system::error_code error) {
                    if (!error)
                        self->onDeadline(open);
                });
        if (this->session)
            this->submit(open);
        else
            this->pending.push_back(open);
    }

private:
    void onConnected()
    {
        H2Session::Handlers handlers;
        const std::weak_ptr<Connection> weak = this->shared_from_this();
        handlers.onReply = [weak](std::int32_t stream, SendFailure failure, std::string body) {
            if (const auto self = weak.lock())
                self->onReply(stream, failure, std::move(body));
        };
        handlers.onClosed = [weak] {
            if (const auto self = weak.lock())
                self->onClosed();
        };
        handlers.onTraffic = this->onTraffic;
        this->session = H2Session::create(H2Session::Role::Client, std::move(this->socket),
                                          this->maxBodyBytes, std::move(handlers));
        this->session->start();
        for (const OpenRequestPointer &open : std::exchange(this->pending, {})) {
            if (!open->finished)
                this->submit(open);
        }
    }

    void submit(const OpenRequestPointer &open)
    {
        const std::int32_t stream =
                this->session->submitRequest(open->request.path, std::move(open->request.body));
        if (stream < 0)
            return open->finish(SendFailure::NotSent, {});
        this->streams.emplace(stream, open);
    }

    void onReply(std::int32_t stream, SendFailure failure, std::string body)
    {
        const auto position = this->streams.find(stream);
        if (position == this->streams.end())
            return;
        const OpenRequestPointer open = position->second;
        this->streams.erase(position);
        open->finish(failure, std::move(body));
    }

    void onDeadline(const OpenRequestPointer &open)
    {
        const auto position = std::find_if(this->streams.begin(), this->streams.end(),
                                           [&](const auto &entry) { return entry.second == open; });
        if (position == this->streams.end())
            return open->finish(SendFailure::NotSent, {});
        const std::int32_t stream = position->first;
        this->streams.erase(position);
        this->session->cancel(stream);
        open->finish(SendFailure::Lost, {});
    }

    void fail()
    {
        for (const OpenRequestPointer &open : std::exchange(this->pending, {}))
            open->finish(SendFailure::NotSent, {});
        this->onClosed();
    }

    asio::io_context &io;
    Tcp::socket socket;
    std::string address;
    std::size_t maxBodyBytes;
    std::function<void()> onClosed;
    std::function<void(std::size_t)> onTraffic;
    std::shared_ptr<H2Session> session;
    std::vector<OpenRequestPointer> pending;
    std::map<std::int32_t, OpenRequestPointer> streams;
};

// The stream that a received message is answered on.
struct ReplyPath
{
    std::weak_ptr<H2Session> session;
    std::int32_t stream = 0;
};

} // namespace

struct PeerLink::Implementation
{
    Implementation(const PeerSettings &settings, MessageHandler handler)
        : settings(settings), handler(std::move(handler)), loop(settings.ringCapacity),
          acceptor(loop.context())
    {
    }

    ~Implementation() { this->loop.stop(); }

    void accept()
    {
        this->acceptor.async_accept([this](boost::system::error_code error, Tcp::socket socket) {
            if (error == asio::error::operation_aborted)
                return;
            if (!error)
                this->serve(std::move(socket));
            this->accept();
        });
    }

    void serve(Tcp::socket socket)
    {
        auto slot = std::make_shared<std::weak_ptr<H2Session>>();
        H2Session::Handlers handlers;
        handlers.onRequest = [this, slot](std::int32_t stream, std::string path, std::string body) {
            const core::ReplyToken token = this->nextToken;
            this->nextToken = core::next(token);
            this->replyPaths.emplace(token, ReplyPath{*slot, stream});
            const bool taken = this->handler({token, std::move(path), std::move(body)});
            if (!taken)
                this->replyPaths.erase(token);
            return taken;
        };
        handlers.onClosed = [this] { this->forgetClosedPaths(); };
        handlers.onTraffic = [this](std::size_t bytes) { this->traffic += bytes; };
        const auto session = H2Session::create(H2Session::Role::Server, std::move(socket),
                                               this->settings.maxBodyBytes, std::move(handlers));
        *slot = session;
        session->start();
    }

    void forgetClosedPaths()
    {
        std::erase_if(this->replyPaths,
                      [](const auto &entry) { return entry.second.session.expired(); });
    }

    void operator()(PeerRequest &&request)
    {
        const std::string address = request.address;
        auto position = this->connections.find(address);
        if (position == this->connections.end()) {
            auto connection = std::make_shared<Connection>(
                    this->loop.context(), address, this->settings.maxBodyBytes,
                    [this, address] { this->connections.erase(address); },
                    [this](std::size_t bytes) { this->traffic += bytes; });
            position = this->connections.emplace(address, connection).first;
            connection->open();
        }
        const std::shared_ptr<Connection> connection = position->second;
        connection->send(std::move(request));
    }

    void operator()(ReplyOrder &&order)
    {
        const auto position = this->replyPaths.find(order.token);
        if (position == this->replyPaths.end())
            return;
        const ReplyPath path = position->second;
        this->replyPaths.erase(position);
        if (const auto session = path.session.lock())
            session->submitReply(path.stream, std::move(order.body));
    }

    PeerSettings settings;
    MessageHandler handler;
    detail::EventLoop<PeerOrder> loop;
    Tcp::acceptor acceptor;
    std::atomic<std::uint64_t> traffic = 0;
    core::ReplyToken nextToken{1}; // Used on the loop's thread, as all below.
    std::map<core::ReplyToken, ReplyPath> replyPaths;
    std::map<std::string, std::shared_ptr<Connection>> connections;
};

PeerLink::PeerLink(std::unique_ptr<Implementation> implementation)
    : implementation(std::move(implementation))
{
}

PeerLink::~PeerLink() = default;

core::Result<std::unique_ptr<PeerLink>> PeerLink::create(const PeerSettings &settings,
                                                         MessageHandler handler)
{
    auto implementation = std::make_unique<Implementation>(settings, std::move(handler));
    const core::Result<void> listening = detail::listen(implementation->acceptor, settings.address);
    if (!listening)
        return listening.error();
    Implementation &link = *implementation;
    link.accept();
    link.loop.start("peers", [&link](PeerOrder &&order) {
        std::visit([&](auto &&content) { link(std::forward<decltype(content)>(content)); },
                   std::move(order));
    });
    return std::unique_ptr<PeerLink>(new PeerLink(std::move(implementation)));
}

std::uint16_t PeerLink::port() const
{
    return this->implementation->acceptor.local_endpoint().port();
}

std::uint64_t PeerLink::traffic() const
{
    return this->implementation->traffic;
}

void PeerLink::send(PeerRequest &&request)
{
    PeerOrder order(std::move(request));
    if (!this->implementation->loop.inbox().tryPush(std::move(order)))
        std::get<PeerRequest>(order).done({SendFailure::NotSent, {}});
}

void PeerLink::reply(core::ReplyToken token, std::string body)
{
    static_cast<void>(
            this->implementation->loop.inbox().tryPush(ReplyOrder{token, std::move(body)}));
}

void PeerLink::stop()
{
    this->implementation->loop.stop();
}

} // namespace geraniumpulley::net
