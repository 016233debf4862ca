#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <thread>

// Boost 1.74's asio.hpp uses std::exchange without including <utility>.
#include <utility>

#include <boost/asio.hpp>

/// Loopback TCP proxies between pairs of processes, which simulate network faults.
namespace soak {

/// The fault that a link simulates.
enum class LinkFault {
    None,
    Delayed, ///< Received data is forwarded after a delay.
    Stalled, ///< No data is forwarded in either direction until the fault ends.
    StalledToServer, ///< No data is forwarded to the server; its answers still are.
    Refusing, ///< New connections are reset.
    CuttingAnswers, ///< A part of the server's next bytes is forwarded; then the connection closes.
    TricklingAnswers, ///< The server's bytes are forwarded one at a time, far apart.
    RepeatingAnswers, ///< What the server sends is sent a second time, a little later.
};

struct Link;

/// Runs all links on one thread. Links are opened before the load starts and exist until the end of
/// the run.
class Proxies
{
public:
    Proxies();
    ~Proxies();

    Proxies(const Proxies &) = delete;
    Proxies &operator=(const Proxies &) = delete;

    /// \return the address ("ip:port") at which the link listens.
    std::string open(const std::string &name);
    /// Sets the server address ("ip:port") for new connections of a link.
    void setServer(const std::string &name, const std::string &server);
    /// Sets the fault of a link. `LinkFault::None` ends the current one.
    void setFault(const std::string &name, LinkFault fault);
    /// Resets all connections of a link that are open now.
    void reset(const std::string &name);

private:
    boost::asio::io_context io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> workGuard;
    std::map<std::string, std::shared_ptr<Link>> links;
    std::thread thread;
};

} // namespace soak
