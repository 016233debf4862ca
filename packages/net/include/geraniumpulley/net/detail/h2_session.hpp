#pragma once

#include <geraniumpulley/net/http_client.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <nghttp2/nghttp2.h>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace geraniumpulley::net::detail {

/// One HTTP/2 connection, as client or server. Used on the thread of its event loop only.
class H2Session : public std::enable_shared_from_this<H2Session>
{
public:
    enum class Role { Client, Server };

    struct Handlers
    {
        /// Called on a server for a complete request.
        /// \return false to reset the stream with REFUSED_STREAM, which marks the request as not
        /// processed.
        std::function<bool(std::int32_t streamId, std::string path, std::string body)> onRequest;
        /// Called on a client when a stream has ended.
        std::function<void(std::int32_t streamId, SendFailure failure, std::string body)> onReply;
        /// Called when the connection has closed; `onReply` and `onRequest` are not called after
        /// it.
        std::function<void()> onClosed;
        /// Called with the number of bytes read from or written to the socket.
        std::function<void(std::size_t bytes)> onTraffic;
    };

    static std::shared_ptr<H2Session> create(Role role, boost::asio::ip::tcp::socket socket,
                                             std::size_t maxBodyBytes, Handlers handlers);
    ~H2Session();

    H2Session(const H2Session &) = delete;
    H2Session &operator=(const H2Session &) = delete;

    /// Sends the HTTP/2 SETTINGS frame and starts reading.
    void start();
    /// Sends a request on a new stream.
    /// \return the stream's id, or a negative number when the session accepts no more requests.
    std::int32_t submitRequest(const std::string &path, std::string body);
    /// Sends a reply; ignored when the stream or the connection has closed.
    void submitReply(std::int32_t streamId, std::string body);
    /// Resets a stream with CANCEL; no handler is called for it afterwards.
    void cancel(std::int32_t streamId);
    /// Closes the connection; on a client, open streams fail with `AnswerLost`.
    void close();

private:
    struct Stream
    {
        std::string path;
        std::string receivedBody;
        std::string outgoingBody;
        std::size_t sentBytes = 0;
    };
    struct Callbacks;

    H2Session(Role role, boost::asio::ip::tcp::socket socket, std::size_t maxBodyBytes,
              Handlers handlers);

    void read();
    void flush();
    void finishStream(std::int32_t id, std::uint32_t errorCode);
    void dispatchRequest(std::int32_t id);
    nghttp2_data_provider makeDataProvider();

    Role role;
    boost::asio::ip::tcp::socket socket;
    std::size_t maxBodyBytes;
    Handlers handlers;
    nghttp2_session *session = nullptr;
    std::map<std::int32_t, Stream> streams;
    std::array<std::uint8_t, 16 * 1024> readBuffer{};
    std::vector<std::uint8_t> writeBuffer;
    bool writing = false;
    bool closed = false;
};

} // namespace geraniumpulley::net::detail
