#include "http_session.hpp"

#include <geraniumpulley/core/limits/connection_use.hpp>
#include <geraniumpulley/runtime/clock.hpp>

#include <boost/algorithm/string/predicate.hpp>

#include <algorithm>
#include <functional>
#include <numeric>
#include <utility>
#include <variant>
#include <vector>

namespace geraniumpulley::net {

namespace {

constexpr core::Duration acceptRetryDelay = std::chrono::milliseconds(50);

} // namespace

std::string findHeader(const std::vector<HttpHeader> &headers, const std::string &name)
{
    const auto found = std::find_if(headers.begin(), headers.end(), [&](const HttpHeader &header) {
        return boost::algorithm::iequals(header.name, name);
    });
    return found == headers.end() ? std::string() : found->value;
}
void HttpServer::Implementation::accept()
{
    this->acceptor.async_accept([this](boost::system::error_code error, Tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error)
            this->open(std::move(socket));
        if (this->draining)
            return;
        if (!error)
            return this->accept();
        ++this->acceptFailures;
        this->acceptLater();
    });
}

// Without descriptors each accept fails at once, until a connection is closed.
void HttpServer::Implementation::acceptLater()
{
    this->acceptTimer.expires_after(acceptRetryDelay);
    this->acceptTimer.async_wait([this](boost::system::error_code error) {
        if (!error && !this->draining)
            this->accept();
    });
}

// Accepts the connections that the kernel has established already: closing the listener would reset
// them together with the requests that they carry.
void HttpServer::Implementation::acceptQueued()
{
    boost::system::error_code error;
    this->acceptor.non_blocking(true, error);
    while (!error) {
        Tcp::socket socket(this->loop.context());
        this->acceptor.accept(socket, error);
        if (!error)
            this->open(std::move(socket));
    }
}

// A connection over the limit takes the place of one whose client is awaited, or is closed at once
// to bound memory.
void HttpServer::Implementation::open(Tcp::socket socket)
{
    if (this->sessions.size() >= this->settings.maxConnections && !this->closeMostStalled()) {
        ++this->refusedConnections;
        return;
    }
    const auto session = std::make_shared<Session>(*this, std::move(socket));
    session->read();
    if (this->draining)
        session->closeIfIdle();
}

bool HttpServer::Implementation::closeMostStalled()
{
    const core::Time now = runtime::now();
    const std::shared_ptr<Session> stalled = this->findLargest([now](const Session &session) {
        return static_cast<double>(core::stalledTime(session.use(), now).count());
    });
    if (!stalled)
        return false;
    ++this->displacedConnections;
    stalled->giveWay();
    return true;
}

// Connections whose requests are incomplete give way, so that a few clients cannot use up the
// memory of all. Requests in service stay; a request that does not fit beside them gives way
// itself.
void HttpServer::Implementation::limitRequestBytes()
{
    const core::Time now = runtime::now();
    const auto occupied = [now](const Session &session) {
        const core::ConnectionUse use = session.use();
        return use.heldBytes > 0 ? core::heldByteSeconds(use, now) : -1;
    };
    const auto total = [this] {
        return std::accumulate(this->sessions.begin(), this->sessions.end(), std::size_t{0},
                               [](std::size_t sum, const Session *session) {
                                   return sum + session->requestBytes();
                               });
    };
    while (total() > this->settings.maxRequestBytes) {
        const std::shared_ptr<Session> largest = this->findLargest(occupied);
        if (!largest)
            return;
        ++this->memoryRefusals;
        largest->giveWay();
    }
}

// Returns the connection with the largest value of those that may give way, or null; a negative
// value keeps a connection.
std::shared_ptr<HttpServer::Implementation::Session>
HttpServer::Implementation::findLargest(const std::function<double(const Session &)> &valueOf)
{
    std::vector<std::pair<double, Session *>> candidates;
    for (Session *session : this->sessions) {
        const double value = session->awaitsClient() ? valueOf(*session) : -1;
        if (value >= 0)
            candidates.emplace_back(value, session);
    }
    std::sort(candidates.begin(), candidates.end(), std::greater<>());
    const auto found =
            std::find_if(candidates.begin(), candidates.end(),
                         [](const auto &candidate) { return candidate.second->mayGiveWay(); });
    return found == candidates.end() ? nullptr : found->second->shared_from_this();
}

void HttpServer::Implementation::beginDrain()
{
    this->draining = true;
    this->keepAliveDisabled = true;
    this->acceptQueued();
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
    for (Session *session : this->sessions)
        session->closeIfIdle();
    if (this->sessions.empty())
        this->reportDrained();
}

void HttpServer::Implementation::addSession(Session &session)
{
    this->sessions.insert(&session);
}

void HttpServer::Implementation::removeSession(Session &session)
{
    this->sessions.erase(&session);
    if (this->draining && this->sessions.empty())
        this->reportDrained();
}

void HttpServer::Implementation::reportDrained()
{
    {
        const std::lock_guard lock(this->mutex);
        this->drained = true;
    }
    this->pendingChanged.notify_all();
}

// Closes the connections that hold most, until the others fit.
void HttpServer::Implementation::limitUnreadBytes()
{
    while (this->unreadBytes > this->settings.maxUnreadBytes) {
        const auto largest = std::max_element(
                this->sessions.begin(), this->sessions.end(),
                [](const Session *a, const Session *b) { return a->heldBytes() < b->heldBytes(); });
        if (largest == this->sessions.end() || (*largest)->heldBytes() == 0)
            return;
        ++this->memoryRefusals;
        // Giving up may drop the last reference to the session.
        const std::shared_ptr<Session> session = (*largest)->shared_from_this();
        session->giveUpUnread();
    }
}

void HttpServer::Implementation::handle(Command &&command)
{
    if (std::holds_alternative<BeginDrain>(command))
        return this->beginDrain();
    if (const auto *limits = std::get_if<HttpServerLimits>(&command)) {
        this->settings.maxHeaderBytes = limits->maxHeaderBytes;
        this->settings.maxBodyBytes = limits->maxBodyBytes;
        this->settings.readTimeout = limits->readTimeout;
        this->settings.idleTimeout = limits->idleTimeout;
        return;
    }
    this->respond(std::get<ServerResponse>(std::move(command)));
}

void HttpServer::Implementation::respond(ServerResponse &&response)
{
    const auto position = this->pendingSessions.find(response.token);
    if (position == this->pendingSessions.end())
        return;
    const std::shared_ptr<Session> session = position->second;
    if (!session->isInOrder(response)) {
        ++this->misplacedResponses;
        this->pendingSessions.erase(position);
        return session->breakOff();
    }
    const bool isWhole = response.part == ResponsePart::Whole;
    if (isWhole || response.part == ResponsePart::Last || response.abortConnection)
        this->pendingSessions.erase(position);
    if (isWhole)
        session->write(std::move(response));
    else
        session->writePart(std::move(response));
    this->limitUnreadBytes();
}

HttpServer::HttpServer(std::unique_ptr<Implementation> implementation)
    : implementation(std::move(implementation))
{
}

HttpServer::~HttpServer() = default;

core::Result<std::unique_ptr<HttpServer>> HttpServer::create(const HttpServerSettings &settings,
                                                             RequestHandler handler,
                                                             DisconnectHandler disconnectHandler)
{
    auto implementation = std::make_unique<Implementation>(settings, std::move(handler),
                                                           std::move(disconnectHandler));
    const core::Result<void> listening = detail::listen(implementation->acceptor, settings.address);
    if (!listening)
        return listening.error();
    Implementation &server = *implementation;
    server.port = server.acceptor.local_endpoint().port();
    server.accept();
    server.loop.start(settings.name, [&server](Implementation::Command &&command) {
        server.handle(std::move(command));
    });
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(implementation)));
}

std::uint16_t HttpServer::port() const
{
    return this->implementation->port;
}

void HttpServer::respond(ServerResponse &&response)
{
    this->implementation->loop.inbox().push(std::move(response));
}

void HttpServer::setLimits(const HttpServerLimits &limits)
{
    this->implementation->loop.inbox().push(limits);
}

void HttpServer::disableKeepAlive()
{
    this->implementation->keepAliveDisabled = true;
}

bool HttpServer::drain(core::Duration timeout)
{
    Implementation &server = *this->implementation;
    server.loop.inbox().push(HttpServer::Implementation::BeginDrain{});
    std::unique_lock lock(server.mutex);
    server.pendingChanged.wait_for(lock, timeout, [&server] { return server.drained; });
    return server.pendingResponses == 0;
}

std::uint64_t HttpServer::misplacedResponseCount() const
{
    return this->implementation->misplacedResponses;
}

std::uint64_t HttpServer::displacedConnectionCount() const
{
    return this->implementation->displacedConnections;
}

std::uint64_t HttpServer::refusedConnectionCount() const
{
    return this->implementation->refusedConnections;
}

std::uint64_t HttpServer::acceptFailureCount() const
{
    return this->implementation->acceptFailures;
}

std::uint64_t HttpServer::failureCount() const
{
    return this->implementation->handlerFailures + this->implementation->loop.failureCount();
}

std::uint64_t HttpServer::memoryRefusalCount() const
{
    return this->implementation->memoryRefusals;
}

void HttpServer::stop()
{
    this->implementation->loop.stop();
}

} // namespace geraniumpulley::net
