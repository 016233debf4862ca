#include "connection_pool.hpp"

#include <algorithm>
#include <utility>

namespace geraniumpulley::net {
namespace {

// When this is exceeded, the connection that was released first is closed.
constexpr std::size_t maxIdlePerKey = 64;

void close(Connection &connection)
{
    boost::system::error_code ignored;
    connection.stream.socket().close(ignored);
}

} // namespace

std::shared_ptr<Connection> ConnectionPool::acquire(const std::string &key, core::Time now)
{
    const auto position = this->idleConnections.find(key);
    if (position == this->idleConnections.end())
        return nullptr;
    auto &connections = position->second;
    while (!connections.empty()) {
        // The most recently used connection is the least likely to have been closed by the server.
        std::shared_ptr<Connection> connection = std::move(connections.back());
        connections.pop_back();
        ++connection->useCount;
        boost::system::error_code ignored;
        connection->stream.socket().cancel(ignored);
        if (connection->expiresAt > now)
            return connection;
        close(*connection);
    }
    return nullptr;
}

void ConnectionPool::release(const std::string &key, const std::shared_ptr<Connection> &connection)
{
    auto &connections = this->idleConnections[key];
    connection->stream.expires_never();
    if (connections.size() >= maxIdlePerKey) {
        close(*connections.front());
        connections.erase(connections.begin());
    }
    connections.push_back(connection);
    this->watch(key, connection);
}

void ConnectionPool::clear()
{
    for (auto &[key, connections] : this->idleConnections) {
        for (const auto &connection : connections)
            close(*connection);
    }
    this->idleConnections.clear();
}

void ConnectionPool::watch(const std::string &key, const std::shared_ptr<Connection> &connection)
{
    connection->stream.socket().async_wait(
            boost::asio::ip::tcp::socket::wait_read,
            [this, key, connection,
             uses = connection->useCount](const boost::system::error_code &error) {
                if (error == boost::asio::error::operation_aborted || connection->useCount != uses)
                    return;
                this->remove(key, connection);
            });
}

void ConnectionPool::remove(const std::string &key, const std::shared_ptr<Connection> &connection)
{
    close(*connection);
    const auto position = this->idleConnections.find(key);
    if (position != this->idleConnections.end())
        std::erase(position->second, connection);
}

} // namespace geraniumpulley::net
