#include <geraniumpulley/net/peer_link.hpp>

#include <geraniumpulley/net/detail/event_loop.hpp>
#include <geraniumpulley/net/detail/h2_session.hpp>
#include <geraniumpulley/runtime/latch.hpp>

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

constexpr std::size_t maxPendingRequestsPerPeer = 1024;

struct ReplyCommand
{
    core::ReplyToken token{};
    std::string body;
};

// Is set once the commands before it have been handled.
struct FlushCommand
{
    std::shared_ptr<runtime::Latch> handled;
};

using PeerCommand = std::variant<PeerRequest, ReplyCommand, FlushCommand>;

// A request that has no reply yet, with the timer of its deadline.
struct InFlightRequest
{
    InFlightRequest(asio::io_context &io, PeerRequest &&request)
        : request(std::move(request)), timer(io)
    {
    }

    void complete(SendFailure failure, std::string body)
    {
        this->timer.cancel();
        if (std::exchange(this->completed, true))
            return;
        this->request.done({failure, std::move(body)});
    }

    PeerRequest request;
    asio::steady_timer timer;
    bool completed = false;
};

using InFlightRequestPointer = std::shared_ptr<InFlightRequest>;

// The connection to another node. Requests stay pending until it is established.
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
            return this->failPending();
        this->socket.async_connect(endpoint.value(), [self = this->shared_from_this()](
                                                             boost::system::error_code error) {
            if (error)
                self->failPending();
            else
                self->onConnected();
        });
    }

    void send(PeerRequest &&request)
    {
        const auto inFlightRequest =
                std::make_shared<InFlightRequest>(this->io, std::move(request));
        if (!this->session && this->pending.size() >= maxPendingRequestsPerPeer)
            return inFlightRequest->complete(SendFailure::NotSent, {});
        inFlightRequest->timer.expires_at(inFlightRequest->request.deadline);
        inFlightRequest->timer.async_wait([self = this->shared_from_this(),
                                           inFlightRequest](boost::system::error_code error) {
            if (!error)
                self->onDeadline(inFlightRequest);
        });
        if (this->session)
            this->submit(inFlightRequest);
        else
            this->pending.push_back(inFlightRequest);
    }

private:
    void onConnected()
    {
        H2Session::Handlers handlers;
        const std::weak_ptr<Connection> weakSelf = this->shared_from_this();
        handlers.onReply = [weakSelf](std::int32_t streamId, SendFailure failure,
                                      std::string body) {
            if (const auto self = weakSelf.lock())
                self->onReply(streamId, failure, std::move(body));
        };
        handlers.onClosed = [weakSelf] {
            if (const auto self = weakSelf.lock())
                self->onClosed();
        };
        handlers.onTraffic = this->onTraffic;
        this->session = H2Session::create(H2Session::Role::Client, std::move(this->socket),
                                          this->maxBodyBytes, std::move(handlers));
        this->session->start();
        for (const InFlightRequestPointer &inFlightRequest : std::exchange(this->pending, {})) {
            if (!inFlightRequest->completed)
                this->submit(inFlightRequest);
        }
    }

    void submit(const InFlightRequestPointer &inFlightRequest)
    {
        const std::int32_t streamId = this->session->submitRequest(
                inFlightRequest->request.path, std::move(inFlightRequest->request.body));
        if (streamId < 0)
            return inFlightRequest->complete(SendFailure::NotSent, {});
        this->inFlight.emplace(streamId, inFlightRequest);
    }

    void onReply(std::int32_t streamId, SendFailure failure, std::string body)
    {
        const auto position = this->inFlight.find(streamId);
        if (position == this->inFlight.end())
            return;
        const InFlightRequestPointer inFlightRequest = position->second;
        this->inFlight.erase(position);
        inFlightRequest->complete(failure, std::move(body));
    }

    void onDeadline(const InFlightRequestPointer &inFlightRequest)
    {
        const auto position =
                std::find_if(this->inFlight.begin(), this->inFlight.end(),
                             [&](const auto &entry) { return entry.second == inFlightRequest; });
        // A request without a stream has waited for the connection and was never sent.
        if (position == this->inFlight.end())
            return inFlightRequest->complete(SendFailure::NotSent, {});
        const std::int32_t streamId = position->first;
        this->inFlight.erase(position);
        this->session->cancel(streamId);
        inFlightRequest->complete(SendFailure::AnswerLost, {});
    }

    void failPending()
    {
        for (const InFlightRequestPointer &inFlightRequest : std::exchange(this->pending, {}))
            inFlightRequest->complete(SendFailure::NotSent, {});
        this->onClosed();
    }

    asio::io_context &io;
    Tcp::socket socket;
    std::string address;
    std::size_t maxBodyBytes;
    std::function<void()> onClosed;
    std::function<void(std::size_t)> onTraffic;
    std::shared_ptr<H2Session> session;
    std::vector<InFlightRequestPointer> pending;
    std::map<std::int32_t, InFlightRequestPointer> inFlight;
};

// The stream on which the reply to a received message is sent.
struct ReplyStream
{
    std::weak_ptr<H2Session> session;
    std::int32_t streamId = 0;
};

} // namespace

struct PeerLink::Implementation
{
    Implementation(const PeerLinkSettings &settings, MessageHandler handler)
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
        // The handlers are made before the session and refer to it through this slot.
        auto sessionSlot = std::make_shared<std::weak_ptr<H2Session>>();
        H2Session::Handlers handlers;
        handlers.onRequest = [this, sessionSlot](std::int32_t streamId, std::string path,
                                                 std::string body) {
            const core::ReplyToken token = this->nextToken;
            this->nextToken = core::next(token);
            this->replyStreams.emplace(token, ReplyStream{*sessionSlot, streamId});
            const bool accepted = this->handler({token, std::move(path), std::move(body)});
            if (!accepted)
                this->replyStreams.erase(token);
            return accepted;
        };
        handlers.onClosed = [this] { this->removeClosedStreams(); };
        handlers.onTraffic = [this](std::size_t bytes) { this->traffic += bytes; };
        const auto session = H2Session::create(H2Session::Role::Server, std::move(socket),
                                               this->settings.maxBodyBytes, std::move(handlers));
        *sessionSlot = session;
        session->start();
    }

    void removeClosedStreams()
    {
        std::erase_if(this->replyStreams,
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

    void operator()(ReplyCommand &&command)
    {
        const auto position = this->replyStreams.find(command.token);
        if (position == this->replyStreams.end())
            return;
        const ReplyStream replyStream = position->second;
        this->replyStreams.erase(position);
        if (const auto session = replyStream.session.lock())
            session->submitReply(replyStream.streamId, std::move(command.body));
    }

    void operator()(FlushCommand &&command) { command.handled->set(); }

    PeerLinkSettings settings;
    MessageHandler handler;
    detail::EventLoop<PeerCommand> loop;
    Tcp::acceptor acceptor;
    std::atomic<std::uint64_t> traffic = 0;
    core::ReplyToken nextToken{1}; // This and all members below are used on the loop's thread only.
    std::map<core::ReplyToken, ReplyStream> replyStreams;
    std::map<std::string, std::shared_ptr<Connection>> connections;
};

PeerLink::PeerLink(std::unique_ptr<Implementation> implementation)
    : implementation(std::move(implementation))
{
}

PeerLink::~PeerLink() = default;

core::Result<std::unique_ptr<PeerLink>> PeerLink::create(const PeerLinkSettings &settings,
                                                         MessageHandler handler)
{
    auto implementation = std::make_unique<Implementation>(settings, std::move(handler));
    const core::Result<void> listening = detail::listen(implementation->acceptor, settings.address);
    if (!listening)
        return listening.error();
    Implementation &link = *implementation;
    link.accept();
    link.loop.start("peers", [&link](PeerCommand &&command) {
        std::visit([&](auto &&content) { link(std::forward<decltype(content)>(content)); },
                   std::move(command));
    });
    return std::unique_ptr<PeerLink>(new PeerLink(std::move(implementation)));
}

std::uint16_t PeerLink::port() const
{
    return this->implementation->acceptor.local_endpoint().port();
}

std::uint64_t PeerLink::trafficBytes() const
{
    return this->implementation->traffic;
}

void PeerLink::send(PeerRequest &&request)
{
    PeerCommand command(std::move(request));
    if (!this->implementation->loop.inbox().tryPush(std::move(command)))
        std::get<PeerRequest>(command).done({SendFailure::NotSent, {}});
}

void PeerLink::reply(core::ReplyToken token, std::string body)
{
    static_cast<void>(
            this->implementation->loop.inbox().tryPush(ReplyCommand{token, std::move(body)}));
}

bool PeerLink::flush(core::Duration timeout)
{
    const auto handled = std::make_shared<runtime::Latch>();
    return this->implementation->loop.inbox().tryPush(FlushCommand{handled})
           && handled->waitFor(timeout);
}

void PeerLink::stop()
{
    this->implementation->loop.stop();
}

} // namespace geraniumpulley::net
