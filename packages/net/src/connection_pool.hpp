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

/// A connection to a server, with the bytes that were read beyond the last response.
struct Connection
{
    explicit Connection(boost::asio::io_context &io) : stream(io) { }

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    core::Time expiresAt{};
    /// Incremented each time the connection leaves the pool, so that the callback of a watch from
    /// an earlier idle period is recognised as stale.
    std::uint64_t useCount = 0;
};

/// A pool of idle connections, by a key that holds the server's address. Not thread-safe.
class ConnectionPool
{
public:
    explicit ConnectionPool(boost::asio::io_context &io) : io(io) { }

    /// \return an idle connection that has not expired and whose server has not closed it, or null.
    std::shared_ptr<Connection> acquire(const std::string &key, core::Time now);

    /// Returns a connection to the pool. It is removed when its server closes it or sends bytes
    /// that belong to no request; an expired one is closed when `acquire` reaches it.
    void release(const std::string &key, const std::shared_ptr<Connection> &connection);

    /// Closes all connections.
    void clear();

private:
    void watch(const std::string &key, const std::shared_ptr<Connection> &connection);
    void remove(const std::string &key, const std::shared_ptr<Connection> &connection);

    boost::asio::io_context &io;
    std::map<std::string, std::vector<std::shared_ptr<Connection>>> idleConnections;
};

} // namespace geraniumpulley::net
