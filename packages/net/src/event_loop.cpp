#include <geraniumpulley/net/detail/event_loop.hpp>

#include <geraniumpulley/net/error.hpp>

#include <charconv>
#include <cstdint>

namespace geraniumpulley::net::detail {

core::Result<boost::asio::ip::tcp::endpoint> parseAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos)
        return make_error_code(Errc::BadAddress);
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(address.substr(0, colon), error);
    std::uint16_t port = 0;
    const char *const portEnd = address.data() + address.size();
    const auto [end, parseError] = std::from_chars(address.data() + colon + 1, portEnd, port);
    if (error || parseError != std::errc{} || end != portEnd)
        return make_error_code(Errc::BadAddress);
    return boost::asio::ip::tcp::endpoint(ip, port);
}

core::Result<void> listen(boost::asio::ip::tcp::acceptor &acceptor, const std::string &address)
{
    const auto endpoint = parseAddress(address);
    if (!endpoint)
        return endpoint.error();
    boost::system::error_code error;
    acceptor.open(endpoint.value().protocol(), error);
    if (!error)
        acceptor.set_option(boost::asio::ip::tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(endpoint.value(), error);
    if (!error)
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    if (error)
        return make_error_code(Errc::ListenFailed);
    return boost::outcome_v2::success();
}

} // namespace geraniumpulley::net::detail
