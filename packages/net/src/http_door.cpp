#include <geraniumpulley/net/http_door.hpp>

#include <geraniumpulley/net/detail/event_loop.hpp>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <atomic>
#include <deque>
#include <map>
#include <optional>
#include <sstream>
#include <utility>
#include <variant>

namespace geraniumpulley::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

// A reader slower than its answer by this many parts is cut off, which bounds memory.
constexpr std::size_t maxWaitingParts = 1024;

// Of the first read of a request; header and body follow in the same buffer.
constexpr std::size_t firstReadBytes = 4096;

using Order = std::variant<DoorAnswer, DoorLimits>;

constexpr const char *requestIdHeader = "X-Request-Id";
constexpr const char *queueFullBody = R"({"outcome":"not_run","reason":"queue_full"})";

} // namespace

std::string findHeader(const std::vector<HttpHeader> &headers, const std::string &name)
{
    const auto found = std::find_if(headers.begin(), headers.end(), [&](const HttpHeader &header) {
        return boost::algorithm::iequals(header.name, name);
    });
    return found == headers.end() ? std::string() : found->value;
}

struct HttpDoor::Implementation
{
    class Session;

    Implementation(const DoorSettings &settings, RequestHandler handler, GoneHandler goneHandler)
        : settings(settings), handler(std::move(handler)), goneHandler(std::move(goneHandler)),
          loop(settings.maxConnections), acceptor(loop.context())
    {
    }

    ~Implementation() { this->loop.stop(); }

    void accept();
    void take(Order &&order);
    void answer(DoorAnswer &&answer);

    // A request was taken, or its answer was written or given up.
    void noteOwed(bool owed)
    {
        {
            const std::lock_guard lock(this->mutex);
            this->owedAnswers += owed ? 1 : -1;
        }
        this->settled.notify_all();
    }

    DoorSettings settings;
    RequestHandler handler;
    GoneHandler goneHandler;
    std::atomic<bool> closesAfterAnswers = false;
    std::mutex mutex;
    std::condition_variable settled;
    int owedAnswers = 0; // Guarded by the mutex.
    std::size_t connections = 0; // Used on the loop's thread, as all below.
    std::size_t bufferedBytes = 0; // Of bodies that are read or not yet answered.
    detail::EventLoop<Order> loop;
    Tcp::acceptor acceptor;
    core::ReplyToken nextToken{1};
    std::map<core::ReplyToken, std::shared_ptr<Session>> waiting;
};

// One connection. Its callbacks hold it alive; all run on the loop's thread.
class HttpDoor::Implementation::Session : public std::enable_shared_from_this<Session>
{
public:
    Session(Implementation &door, Tcp::socket socket) : door(door), stream(std::move(socket))
    {
        ++this->door.connections;
        buffer.max_size(door.settings.maxHeaderBytes + door.settings.maxBodyBytes);
    }

    ~Session()
    {
        this->settle();
        --this->door.connections;
    }

    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    void read()
    {
        if (this->buffer.size() > 0)
            return this->readHeader();
        this->stream.expires_after(this->door.settings.idleTimeout);
        this->stream.async_read_some(
                this->buffer.prepare(firstReadBytes),
                [self = this->shared_from_this()](beast::error_code error, std::size_t size) {
                    if (error)
                        return self->close();
                    self->buffer.commit(size);
                    self->readHeader();
                });
    }

    void write(DoorAnswer &&answer)
    {
        if (answer.drop)
            return this->close();
        this->response = {};
        this->response.version(11);
        this->response.result(answer.status);
        if (!answer.contentType.empty())
            this->response.set(http::field::content_type, answer.contentType);
        for (const HttpHeader &header : answer.headers)
            this->response.insert(header.name, header.value);
        if (!this->requestId.empty())
            this->response.set(requestIdHeader, this->requestId);
        this->response.body() = std::move(answer.body);
        this->keepAlive = this->keepAlive && !this->door.closesAfterAnswers;
        this->response.keep_alive(this->keepAlive);
        this->response.prepare_payload();
        this->stream.expires_after(this->door.settings.writeTimeout);
        http::async_write(this->stream, this->response,
                          [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                              self->onWritten(error);
                          });
    }

    void writePart(DoorAnswer &&answer)
    {
        this->parts.push_back(std::move(answer));
        if (this->parts.size() > maxWaitingParts)
            return this->close();
        if (this->parts.size() == 1)
            this->writeNextPart();
    }

private:
    void readHeader()
    {
        this->parser.emplace();
        this->parser->header_limit(static_cast<std::uint32_t>(this->door.settings.maxHeaderBytes));
        this->parser->body_limit(this->door.settings.maxBodyBytes);
        this->stream.expires_after(this->door.settings.readTimeout);
        http::async_read_header(
                this->stream, this->buffer, *this->parser,
                [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                    self->onHeader(error);
                });
    }

    void writeNextPart()
    {
        DoorAnswer &part = this->parts.front();
        if (part.drop)
            return this->close();
        this->chunk.clear();
        auto append = [this](const auto &buffers) {
            for (const asio::const_buffer buffer : beast::buffers_range_ref(buffers))
                this->chunk.append(static_cast<const char *>(buffer.data()), buffer.size());
        };
        if (part.part == AnswerPart::First)
            this->chunk = this->encodeHeader(part);
        if (!part.body.empty())
            append(http::make_chunk(asio::buffer(part.body)));
        if (part.part == AnswerPart::Last)
            append(http::make_chunk_last());
        this->stream.expires_after(this->door.settings.writeTimeout);
        asio::async_write(this->stream, asio::buffer(this->chunk),
                          [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                              self->onPartWritten(error);
                          });
    }

    std::string encodeHeader(const DoorAnswer &part)
    {
        this->keepAlive = this->keepAlive && !this->door.closesAfterAnswers;
        http::response<http::empty_body> header;
        header.version(11);
        header.result(part.status);
        if (!part.contentType.empty())
            header.set(http::field::content_type, part.contentType);
        for (const HttpHeader &field : part.headers)
            header.insert(field.name, field.value);
        if (!this->requestId.empty())
            header.set(requestIdHeader, this->requestId);
        header.keep_alive(this->keepAlive);
        header.chunked(true);
        std::ostringstream text;
        text << header.base();
        return text.str();
    }

    void onPartWritten(beast::error_code error)
    {
        if (error)
            return this->close();
        const bool isLast = this->parts.front().part == AnswerPart::Last;
        this->parts.pop_front();
        if (isLast)
            return this->onWritten(error);
        this->stream.expires_never();
        if (!this->parts.empty())
            this->writeNextPart();
    }

    void onHeader(beast::error_code error)
    {
        this->requestId.clear();
        if (error)
            return this->onRead(error);
        this->requestId = std::string(this->parser->get()[requestIdHeader]);
        if (this->parser->content_length().value_or(0) > this->door.settings.maxBodyBytes)
            return this->refuse(413, "body_too_large");
        this->readBody();
    }

    // The bodies of the whole door are bounded by what has been read of them.
    void readBody()
    {
        const std::size_t bytes = this->parser->get().body().size();
        this->door.bufferedBytes += bytes - this->bufferedBytes;
        this->bufferedBytes = bytes;
        if (this->door.bufferedBytes > this->door.settings.maxBufferedBytes)
            return this->refuse(503, "queue_full");
        if (this->parser->is_done())
            return this->onRead({});
        this->stream.expires_after(this->door.settings.readTimeout);
        http::async_read_some(
                this->stream, this->buffer, *this->parser,
                [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                    if (error)
                        return self->onRead(error);
                    self->readBody();
                });
    }

    void onRead(beast::error_code error)
    {
        if (error == http::error::body_limit)
            return this->refuse(413, "body_too_large");
        if (error == http::error::header_limit)
            return this->refuse(431, "headers_too_large");
        const bool isEnd = error == http::error::end_of_stream || error == beast::error::timeout
                           || error == http::error::partial_message;
        if (error && !isEnd
            && error.category() == http::make_error_code(http::error::bad_method).category())
            return this->refuse(400, "malformed_request");
        if (error)
            return this->close();
        this->take();
    }

    // Notices that the client leaves while its request is being served.
    void watch(core::ReplyToken token)
    {
        this->stream.socket().async_wait(Tcp::socket::wait_read, [self = this->shared_from_this(),
                                                                  token](beast::error_code error) {
            if (error || !self->owesAnswer || self->servedToken != token)
                return;
            if (self->hasClientLeft())
                self->leave(token);
        });
    }

    bool hasClientLeft()
    {
        char byte = 0;
        beast::error_code error;
        this->stream.socket().non_blocking(true, error);
        const std::size_t size = this->stream.socket().receive(
                asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
        return (error && error != asio::error::would_block) || (!error && size == 0);
    }

    void leave(core::ReplyToken token)
    {
        this->door.waiting.erase(token);
        this->settle();
        this->close();
        this->door.goneHandler(token);
    }

    void take()
    {
        const auto &message = this->parser->get();
        this->keepAlive = message.keep_alive();
        DoorRequest request;
        request.token = this->door.nextToken;
        this->door.nextToken = core::next(request.token);
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        for (const auto &header : message)
            request.headers.push_back(
                    {std::string(header.name_string()), std::string(header.value())});
        request.body = std::move(this->parser->get().body());
        this->parser.reset();
        this->stream.expires_never();
        const core::ReplyToken token = request.token;
        this->servedToken = token;
        this->door.waiting.emplace(token, this->shared_from_this());
        this->owesAnswer = true;
        this->door.noteOwed(true);
        if (this->door.handler(std::move(request))) {
            if (this->door.goneHandler)
                this->watch(token);
            return;
        }
        this->door.waiting.erase(token);
        this->write({token, 503, "application/json", {}, queueFullBody, false});
    }

    void refuse(std::uint32_t status, const char *reason)
    {
        this->keepAlive = false;
        const std::string body =
                std::string(R"({"outcome":"not_run","reason":")") + reason + R"("})";
        this->write({core::ReplyToken{},
                     status,
                     "application/json",
                     {{"X-Outcome", "not_run"}, {"X-Reason", reason}},
                     body,
                     false});
    }

    void settle()
    {
        this->door.bufferedBytes -= std::exchange(this->bufferedBytes, 0);
        if (std::exchange(this->owesAnswer, false))
            this->door.noteOwed(false);
    }

    void onWritten(beast::error_code error)
    {
        this->settle();
        if (error || !this->keepAlive)
            return this->close();
        this->read();
    }

    void close()
    {
        beast::error_code ignored;
        this->stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
        this->stream.close();
    }

    Implementation &door;
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    http::response<http::string_body> response;
    std::deque<DoorAnswer> parts; // Of an answer in chunks; the first one is being written.
    std::string chunk;
    std::string requestId; // Echoed, so that the caller can match the answer.
    std::size_t bufferedBytes = 0;
    core::ReplyToken servedToken{};
    bool owesAnswer = false;
    bool keepAlive = false;
};

void HttpDoor::Implementation::accept()
{
    this->acceptor.async_accept([this](boost::system::error_code error, Tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        // Over the limit the connection is closed at once, which bounds memory.
        if (!error && this->connections < this->settings.maxConnections)
            std::make_shared<Session>(*this, std::move(socket))->read();
        this->accept();
    });
}

void HttpDoor::Implementation::take(Order &&order)
{
    if (const auto *limits = std::get_if<DoorLimits>(&order)) {
        this->settings.maxHeaderBytes = limits->maxHeaderBytes;
        this->settings.maxBodyBytes = limits->maxBodyBytes;
        this->settings.readTimeout = limits->headerTimeout;
        this->settings.idleTimeout = limits->idleTimeout;
        return;
    }
    this->answer(std::get<DoorAnswer>(std::move(order)));
}

void HttpDoor::Implementation::answer(DoorAnswer &&answer)
{
    const auto position = this->waiting.find(answer.token);
    if (position == this->waiting.end())
        return;
    const std::shared_ptr<Session> session = position->second;
    const bool isWhole = answer.part == AnswerPart::Whole;
    if (isWhole || answer.part == AnswerPart::Last || answer.drop)
        this->waiting.erase(position);
    if (isWhole)
        session->write(std::move(answer));
    else
        session->writePart(std::move(answer));
}

HttpDoor::HttpDoor(std::unique_ptr<Implementation> implementation)
    : implementation(std::move(implementation))
{
}

HttpDoor::~HttpDoor() = default;

core::Result<std::unique_ptr<HttpDoor>>
HttpDoor::create(const DoorSettings &settings, RequestHandler handler, GoneHandler goneHandler)
{
    auto implementation =
            std::make_unique<Implementation>(settings, std::move(handler), std::move(goneHandler));
    const core::Result<void> listening = detail::listen(implementation->acceptor, settings.address);
    if (!listening)
        return listening.error();
    Implementation &door = *implementation;
    door.accept();
    door.loop.start(settings.name, [&door](Order &&order) { door.take(std::move(order)); });
    return std::unique_ptr<HttpDoor>(new HttpDoor(std::move(implementation)));
}

std::uint16_t HttpDoor::port() const
{
    return this->implementation->acceptor.local_endpoint().port();
}

void HttpDoor::answer(DoorAnswer &&answer)
{
    this->implementation->loop.inbox().push(std::move(answer));
}

void HttpDoor::setLimits(const DoorLimits &limits)
{
    this->implementation->loop.inbox().push(limits);
}

void HttpDoor::closeAfterAnswers()
{
    this->implementation->closesAfterAnswers = true;
}

bool HttpDoor::waitUntilWritten(core::Duration limit)
{
    Implementation &door = *this->implementation;
    std::unique_lock lock(door.mutex);
    return door.settled.wait_for(lock, limit, [&door] { return door.owedAnswers == 0; });
}

void HttpDoor::stop()
{
    this->implementation->loop.stop();
}

} // namespace geraniumpulley::net
