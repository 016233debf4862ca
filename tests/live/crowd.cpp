#include "crowd.hpp"

#include <fmt/format.h>

#include <chrono>
#include <filesystem>
#include <fstream>

#include <sys/socket.h>
#include <sys/time.h>

namespace live {
namespace {

constexpr auto period = std::chrono::milliseconds(200);
// A node that does not read must not block the test.
constexpr timeval writeTimeout{2, 0};

} // namespace

std::size_t peakMegabytes(pid_t process)
{
    std::ifstream file(fmt::format("/proc/{}/status", process));
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("VmHWM:"))
            return std::stoul(line.substr(6)) / 1024;
    }
    return 0;
}

std::size_t openDescriptors(pid_t process)
{
    const std::filesystem::directory_iterator entries(fmt::format("/proc/{}/fd", process));
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

std::string smallFields(std::size_t bytes)
{
    std::string fields;
    while (fields.size() < bytes)
        fields += "a:\r\n";
    return fields;
}

HoldingCrowd::HoldingCrowd(const std::string &address, std::size_t size, HoldingPattern pattern)
    : pattern(std::move(pattern))
{
    const std::size_t colon = address.rfind(':');
    this->node = {boost::asio::ip::make_address(address.substr(0, colon)),
                  static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
    for (std::size_t i = 0; i < size; ++i)
        this->open(this->sockets.emplace_back(this->io));
    this->thread = std::thread([this] { this->hold(); });
}

HoldingCrowd::~HoldingCrowd()
{
    this->stopping = true;
    this->thread.join();
}

void HoldingCrowd::open(Tcp::socket &socket)
{
    boost::system::error_code error;
    socket.close(error);
    socket.connect(this->node, error);
    if (error)
        return;
    setsockopt(socket.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &writeTimeout,
               sizeof(writeTimeout));
    this->send(socket, this->pattern.beginning);
}

void HoldingCrowd::send(Tcp::socket &socket, const std::string &bytes)
{
    boost::system::error_code error;
    boost::asio::write(socket, boost::asio::buffer(bytes), error);
    if (error)
        socket.close(error);
}

void HoldingCrowd::hold()
{
    while (!this->stopping) {
        for (Tcp::socket &socket : this->sockets) {
            if (this->stopping)
                return;
            if (socket.is_open() && !this->pattern.repeated.empty())
                this->send(socket, this->pattern.repeated);
            if (!socket.is_open() && this->pattern.reopens)
                this->open(socket);
        }
        std::this_thread::sleep_for(period);
    }
}

} // namespace live
