#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <thread>

// Boost 1.74's asio.hpp uses std::exchange without including <utility>.
#include <utility>

#include <boost/asio.hpp>

/// A loopback proxy for each path between two processes, with faults that are set from outside.
namespace soak {

enum class LinkFault {
    None,
    Delayed, ///< Each piece waits before it goes on.
    Silent, ///< Nothing goes on in either direction until the fault ends.
    OneWay, ///< Nothing goes on towards the server; its answers do.
    Refusing, ///< New connections are reset.
};

struct Link;

/// Runs all links on one thread. Links are opened before the load starts and stay to the end.
class Proxies
{
public:
    Proxies();
    ~Proxies();

    Proxies(const Proxies &) = delete;
    Proxies &operator=(const Proxies &) = delete;

    /// \return the address ("ip:port") at which the link listens.
    std::string open(const std::string &name);
    /// Sets where new connections of a link go to.
    void connect(const std::string &name, const std::string &server);
    void setFault(const std::string &name, LinkFault fault);
    /// Resets all connections that are open now.
    void reset(const std::string &name);

private:
    boost::asio::io_context io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    std::map<std::string, std::shared_ptr<Link>> links;
    std::thread thread;
};

} // namespace soak
