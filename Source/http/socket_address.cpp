#include "http/socket_address.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <charconv>

namespace vanillashunt {

using boost::asio::ip::tcp;

namespace {

    // A connection is closed when sent data or keep-alive probes stay unacknowledged for this
    // long. Callers wait a few seconds for an answer at most, while a round trip takes
    // milliseconds, so only a peer that is unreachable exceeds these times.
    constexpr int userTimeoutMilliseconds = 2000;
    constexpr int keepAliveIdleSeconds = 1;
    constexpr int keepAliveIntervalSeconds = 1;
    constexpr int maxUnansweredProbes = 2;

}

std::optional<tcp::endpoint> parseEndpoint(const std::string& text)
{
    auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    boost::system::error_code error;
    auto address = boost::asio::ip::make_address(host, error);
    if (error || parsed.ec != std::errc {} || parsed.ptr != end) {
        return std::nullopt;
    }
    return tcp::endpoint(address, port);
}

std::string toString(const tcp::endpoint& endpoint)
{
    auto host = endpoint.address().to_string();
    if (endpoint.address().is_v6()) {
        host = "[" + host + "]";
    }
    return host + ":" + std::to_string(endpoint.port());
}

void listenOn(tcp::acceptor& acceptor, const std::string& address)
{
    auto endpoint = parseEndpoint(address);
    boost::system::error_code error = boost::asio::error::invalid_argument;
    if (endpoint) {
        acceptor.open(endpoint->protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(*endpoint, error);
    }
    if (!error) {
        acceptor.listen(tcp::acceptor::max_listen_connections, error);
    }
    if (error) {
        throw boost::system::system_error(error, "cannot listen on " + address);
    }
}

void enableDeadPeerDetection(tcp::socket& socket)
{
    using user_timeout_option = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    using keep_alive_idle_option = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using keep_alive_interval_option = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using keep_alive_count_option = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    // Setting an option fails if the socket has been closed; its next use reports the error.
    boost::system::error_code ignored;
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    socket.set_option(user_timeout_option(userTimeoutMilliseconds), ignored);
    socket.set_option(keep_alive_idle_option(keepAliveIdleSeconds), ignored);
    socket.set_option(keep_alive_interval_option(keepAliveIntervalSeconds), ignored);
    socket.set_option(keep_alive_count_option(maxUnansweredProbes), ignored);
}

void openOutgoing(tcp::socket& socket, const tcp::endpoint& target, const std::string& outgoingAddress, boost::system::error_code& error)
{
    socket.open(target.protocol(), error);
    if (error) {
        return;
    }
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    enableDeadPeerDetection(socket);
    if (outgoingAddress.empty()) {
        return;
    }
    auto address = boost::asio::ip::make_address(outgoingAddress, error);
    if (error) {
        return;
    }
    socket.bind(tcp::endpoint(address, 0), error);
}

}
