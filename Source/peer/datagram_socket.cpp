#include "peer/datagram_socket.h"

#include "http/socket_address.h"

#include <boost/asio.hpp>

namespace vanillashunt {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

namespace {

    constexpr std::size_t maxDatagramBytes = 65536;
    constexpr int receiveBufferBytes = 1024 * 1024;
    // Maximum number of datagrams read before other handlers of the event loop run.
    constexpr int maxDatagramsPerWakeup = 64;

}

std::optional<udp::endpoint> udpEndpoint(const std::string& address)
{
    auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        return std::nullopt;
    }
    return udp::endpoint(endpoint->address(), endpoint->port());
}

bool isUdpPortFree(asio::io_context& context, const std::string& address)
{
    auto endpoint = udpEndpoint(address);
    if (!endpoint) {
        return false;
    }
    udp::socket socket(context);
    error_code error;
    socket.open(endpoint->protocol(), error);
    socket.bind(*endpoint, error);
    return !error;
}

struct datagram_socket::state : std::enable_shared_from_this<datagram_socket::state> {
    state(asio::io_context& context, datagram_handler datagramHandler)
        : socket(context)
        , handler(std::move(datagramHandler))
    {
    }

    void receive()
    {
        socket.async_wait(udp::socket::wait_read, [self = shared_from_this()](error_code error) {
            if (!error && self->socket.is_open()) {
                self->readPending();
                self->receive();
            }
        });
    }

    void readPending()
    {
        for (int i = 0; i < maxDatagramsPerWakeup; ++i) {
            udp::endpoint sender;
            error_code error;
            auto size = socket.receive_from(asio::buffer(buffer), sender, 0, error);
            if (error == asio::error::would_block || !socket.is_open()) {
                return;
            }
            if (!error) {
                handler(buffer.data(), size, sender);
            }
        }
    }

    udp::socket socket;
    datagram_handler handler;
    std::vector<char> buffer = std::vector<char>(maxDatagramBytes);
};

datagram_socket::datagram_socket(asio::io_context& context, const std::string& listenAddress, datagram_handler handler)
    : m_state(std::make_shared<state>(context, std::move(handler)))
{
    auto endpoint = udpEndpoint(listenAddress);
    if (!endpoint) {
        throw boost::system::system_error(asio::error::invalid_argument, "cannot listen for datagrams on '" + listenAddress + "'");
    }
    auto& socket = m_state->socket;
    socket.open(endpoint->protocol());
    socket.bind(*endpoint);
    socket.non_blocking(true);
    error_code ignored;
    socket.set_option(udp::socket::receive_buffer_size(receiveBufferBytes), ignored);
    m_state->receive();
}

datagram_socket::~datagram_socket()
{
    error_code ignored;
    m_state->socket.close(ignored);
}

bool datagram_socket::send(const std::string& address, const std::vector<char>& bytes)
{
    auto endpoint = udpEndpoint(address);
    return endpoint && send(*endpoint, bytes);
}

bool datagram_socket::send(const udp::endpoint& endpoint, const std::vector<char>& bytes)
{
    error_code error;
    m_state->socket.send_to(asio::buffer(bytes), endpoint, 0, error);
    return !error;
}

}
