#include <geraniumpulley/net/detail/h2_session.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <cstddef>
#include <string_view>
#include <utility>

namespace geraniumpulley::net::detail {
namespace {

constexpr std::uint32_t maxConcurrentStreams = 4096;
constexpr std::int32_t streamWindowBytes = 1024 * 1024;
constexpr std::int32_t connectionWindowBytes = 16 * 1024 * 1024;
constexpr std::size_t maxWriteBufferBytes = 64 * 1024;

nghttp2_nv makeHeader(std::string_view name, std::string_view value)
{
    // The C interface takes mutable pointers, but only reads from them.
    return {reinterpret_cast<std::uint8_t *>(const_cast<char *>(name.data())),
            reinterpret_cast<std::uint8_t *>(const_cast<char *>(value.data())), name.size(),
            value.size(), NGHTTP2_NV_FLAG_NONE};
}

} // namespace

// The callbacks for nghttp2; `userData` is the `H2Session`.
struct H2Session::Callbacks
{
    static H2Session &self(void *userData) { return *static_cast<H2Session *>(userData); }

    static int onBeginHeaders(nghttp2_session *, const nghttp2_frame *frame, void *userData)
    {
        H2Session &session = self(userData);
        if (session.role == Role::Server && frame->headers.cat == NGHTTP2_HCAT_REQUEST)
            session.streams.try_emplace(frame->hd.stream_id);
        return 0;
    }

    static int onHeader(nghttp2_session *, const nghttp2_frame *frame, const std::uint8_t *name,
                        std::size_t nameLength, const std::uint8_t *value, std::size_t valueLength,
                        std::uint8_t, void *userData)
    {
        H2Session &session = self(userData);
        const auto position = session.streams.find(frame->hd.stream_id);
        const std::string_view key(reinterpret_cast<const char *>(name), nameLength);
        if (position != session.streams.end() && key == ":path")
            position->second.path.assign(reinterpret_cast<const char *>(value), valueLength);
        return 0;
    }

    static int onData(nghttp2_session *nghttp2, std::uint8_t, std::int32_t streamId,
                      const std::uint8_t *data, std::size_t length, void *userData)
    {
        H2Session &session = self(userData);
        const auto position = session.streams.find(streamId);
        if (position == session.streams.end())
            return 0;
        if (position->second.receivedBody.size() + length > session.maxBodyBytes) {
            nghttp2_submit_rst_stream(nghttp2, NGHTTP2_FLAG_NONE, streamId,
                                      NGHTTP2_ENHANCE_YOUR_CALM);
            return 0;
        }
        position->second.receivedBody.append(reinterpret_cast<const char *>(data), length);
        return 0;
    }

    static int onFrame(nghttp2_session *, const nghttp2_frame *frame, void *userData)
    {
        H2Session &session = self(userData);
        const bool carriesMessage =
                frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
        const bool endsStream = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
        if (session.role == Role::Server && carriesMessage && endsStream)
            session.dispatchRequest(frame->hd.stream_id);
        return 0;
    }

    static int onStreamClose(nghttp2_session *, std::int32_t streamId, std::uint32_t errorCode,
                             void *userData)
    {
        self(userData).finishStream(streamId, errorCode);
        return 0;
    }

    static ssize_t onReadBody(nghttp2_session *, std::int32_t streamId, std::uint8_t *buffer,
                              std::size_t capacity, std::uint32_t *flags, nghttp2_data_source *,
                              void *userData)
    {
        H2Session &session = self(userData);
        const auto position = session.streams.find(streamId);
        if (position == session.streams.end())
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        Stream &stream = position->second;
        const std::size_t length =
                std::min(capacity, stream.outgoingBody.size() - stream.sentBytes);
        std::copy_n(stream.outgoingBody.begin() + static_cast<std::ptrdiff_t>(stream.sentBytes),
                    length, buffer);
        stream.sentBytes += length;
        if (stream.sentBytes == stream.outgoingBody.size())
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        return static_cast<ssize_t>(length);
    }
};

std::shared_ptr<H2Session> H2Session::create(Role role, boost::asio::ip::tcp::socket socket,
                                             std::size_t maxBodyBytes, Handlers handlers)
{
    return std::shared_ptr<H2Session>(
            new H2Session(role, std::move(socket), maxBodyBytes, std::move(handlers)));
}

H2Session::H2Session(Role role, boost::asio::ip::tcp::socket socket, std::size_t maxBodyBytes,
                     Handlers handlers)
    : role(role), socket(std::move(socket)), maxBodyBytes(maxBodyBytes),
      handlers(std::move(handlers))
{
    nghttp2_session_callbacks *callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, Callbacks::onBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, Callbacks::onHeader);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, Callbacks::onData);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, Callbacks::onFrame);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, Callbacks::onStreamClose);
    if (role == Role::Client)
        nghttp2_session_client_new(&this->session, callbacks, this);
    else
        nghttp2_session_server_new(&this->session, callbacks, this);
    nghttp2_session_callbacks_del(callbacks);
}

H2Session::~H2Session()
{
    nghttp2_session_del(this->session);
}

void H2Session::start()
{
    boost::system::error_code ignored;
    this->socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    const std::array<nghttp2_settings_entry, 2> settings{
            {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, maxConcurrentStreams},
             {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, streamWindowBytes}}};
    nghttp2_submit_settings(this->session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(this->session, NGHTTP2_FLAG_NONE, 0,
                                          connectionWindowBytes);
    this->flush();
    this->read();
}

std::int32_t H2Session::submitRequest(const std::string &path, std::string body)
{
    if (this->closed)
        return -1;
    const std::array<nghttp2_nv, 4> headers{
            makeHeader(":method", "POST"), makeHeader(":scheme", "http"),
            makeHeader(":authority", "peer"), makeHeader(":path", path)};
    const nghttp2_data_provider data = this->makeDataProvider();
    const std::int32_t streamId = nghttp2_submit_request(this->session, nullptr, headers.data(),
                                                         headers.size(), &data, nullptr);
    if (streamId < 0)
        return streamId;
    this->streams[streamId].outgoingBody = std::move(body);
    this->flush();
    return streamId;
}

void H2Session::submitReply(std::int32_t streamId, std::string body)
{
    const auto position = this->streams.find(streamId);
    if (this->closed || position == this->streams.end())
        return;
    position->second.outgoingBody = std::move(body);
    const std::array<nghttp2_nv, 1> headers{makeHeader(":status", "200")};
    const nghttp2_data_provider data = this->makeDataProvider();
    nghttp2_submit_response(this->session, streamId, headers.data(), headers.size(), &data);
    this->flush();
}

void H2Session::cancel(std::int32_t streamId)
{
    this->streams.erase(streamId);
    if (this->closed)
        return;
    nghttp2_submit_rst_stream(this->session, NGHTTP2_FLAG_NONE, streamId, NGHTTP2_CANCEL);
    this->flush();
}

// A request that was submitted to the connection may have reached the peer, so it fails with
// `AnswerLost` and not with `NotSent`.
void H2Session::close()
{
    if (this->closed)
        return;
    this->closed = true;
    const std::shared_ptr<H2Session> self = this->shared_from_this();
    boost::system::error_code ignored;
    this->socket.close(ignored);
    const std::map<std::int32_t, Stream> ended = std::exchange(this->streams, {});
    if (this->role == Role::Client) {
        for (const auto &[streamId, stream] : ended)
            this->handlers.onReply(streamId, SendFailure::AnswerLost, {});
    }
    this->handlers.onClosed();
}

void H2Session::read()
{
    this->socket.async_read_some(
            boost::asio::buffer(this->readBuffer),
            [self = this->shared_from_this()](boost::system::error_code error, std::size_t length) {
                if (self->closed)
                    return;
                if (error)
                    return self->close();
                self->handlers.onTraffic(length);
                const ssize_t consumed =
                        nghttp2_session_mem_recv(self->session, self->readBuffer.data(), length);
                if (consumed < 0)
                    return self->close();
                self->flush();
                if (!self->closed)
                    self->read();
            });
}

void H2Session::flush()
{
    if (this->writing || this->closed)
        return;
    this->writeBuffer.clear();
    while (this->writeBuffer.size() < maxWriteBufferBytes) {
        const std::uint8_t *data = nullptr;
        const ssize_t length = nghttp2_session_mem_send(this->session, &data);
        if (length < 0)
            return this->close();
        if (length == 0)
            break;
        this->writeBuffer.insert(this->writeBuffer.end(), data, data + length);
    }
    if (this->writeBuffer.empty())
        return;
    this->writing = true;
    boost::asio::async_write(
            this->socket, boost::asio::buffer(this->writeBuffer),
            [self = this->shared_from_this()](boost::system::error_code error, std::size_t length) {
                self->writing = false;
                self->handlers.onTraffic(length);
                if (error)
                    return self->close();
                self->flush();
            });
}

void H2Session::finishStream(std::int32_t streamId, std::uint32_t errorCode)
{
    const auto position = this->streams.find(streamId);
    if (position == this->streams.end())
        return;
    std::string received = std::move(position->second.receivedBody);
    this->streams.erase(position);
    if (this->role == Role::Server)
        return;
    SendFailure failure = SendFailure::None;
    if (errorCode == NGHTTP2_REFUSED_STREAM)
        failure = SendFailure::NotSent;
    else if (errorCode != NGHTTP2_NO_ERROR)
        failure = SendFailure::AnswerLost;
    this->handlers.onReply(streamId, failure, std::move(received));
}

void H2Session::dispatchRequest(std::int32_t streamId)
{
    const auto position = this->streams.find(streamId);
    if (position == this->streams.end())
        return;
    Stream &stream = position->second;
    if (!this->handlers.onRequest(streamId, std::move(stream.path), std::move(stream.receivedBody)))
        nghttp2_submit_rst_stream(this->session, NGHTTP2_FLAG_NONE, streamId,
                                  NGHTTP2_REFUSED_STREAM);
}

nghttp2_data_provider H2Session::makeDataProvider()
{
    nghttp2_data_provider data{};
    data.read_callback = Callbacks::onReadBody;
    return data;
}

} // namespace geraniumpulley::net::detail
