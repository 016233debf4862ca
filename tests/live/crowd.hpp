#pragma once

// Boost 1.74's asio.hpp uses std::exchange without including <utility>.
#include <utility>

#include <boost/asio.hpp>

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

/// Clients outside the limits, and what they cost a process.
namespace live {

/// The smallest machine of the users' deployments: its memory, and its 3,075 descriptors without
/// the 200 that are reserved for files.
constexpr std::size_t smallestMachineMegabytes = 120;
constexpr std::size_t smallestMachineDescriptors = 2875;

/// \return the largest resident size that a process has had, in megabytes; 0 if it has ended.
std::size_t peakMegabytes(pid_t process);

/// \return the number of descriptors that a process has open.
std::size_t openDescriptors(pid_t process);

/// \return fields of at least so many bytes, as small as the format allows.
std::string smallFields(std::size_t bytes);

/// What each client of a `HoldingCrowd` sends.
struct HoldingPattern
{
    std::string beginning; ///< Sent once on each connection.
    std::string repeated; ///< Then sent again and again, a period apart; empty for nothing.
    bool reopens = true; ///< A client whose connection is closed opens another one.
};

/// A crowd of clients that hold their connections and read nothing, on a thread of its own.
class HoldingCrowd
{
public:
    /// Returns when each client has connected and sent its beginning.
    HoldingCrowd(const std::string &address, std::size_t size, HoldingPattern pattern);
    ~HoldingCrowd();

    HoldingCrowd(const HoldingCrowd &) = delete;
    HoldingCrowd &operator=(const HoldingCrowd &) = delete;

private:
    using Tcp = boost::asio::ip::tcp;

    void open(Tcp::socket &socket);
    void send(Tcp::socket &socket, const std::string &bytes);
    void hold();

    HoldingPattern pattern;
    boost::asio::io_context io;
    Tcp::endpoint node;
    std::vector<Tcp::socket> sockets;
    std::atomic<bool> stopping = false;
    std::thread thread;
};

} // namespace live
