#pragma once

#include <geraniumpulley/core/time.hpp>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace geraniumpulley::net {

/// One connection to a server and what was read from it beyond the last answer.
struct Connection
{
    explicit Connection(boost::asio::io_context &io) : stream(io) { }

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    core::Time idleUntil{};
    std::uint64_t uses = 0; ///< Tells a watch of an earlier idle time from the current one.
};

/// Connections that no request uses, by address. Used on one thread.
class ConnectionPool
{
public:
    explicit ConnectionPool(boost::asio::io_context &io) : io(io) { }

    /// \return an idle connection that its server has not closed, or null.
    std::shared_ptr<Connection> take(const std::string &address, core::Time now);

    /// Keeps a connection until its idle time ends, its server closes it or bytes come that
    /// belong to no request.
    void keep(const std::string &address, const std::shared_ptr<Connection> &connection);

    /// Closes all connections.
    void clear();

private:
    void watch(const std::string &address, const std::shared_ptr<Connection> &connection);
    void remove(const std::string &address, const std::shared_ptr<Connection> &connection);

    boost::asio::io_context &io;
    std::map<std::string, std::vector<std::shared_ptr<Connection>>> idle;
};

} // namespace geraniumpulley::net
