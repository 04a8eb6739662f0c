#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace vanillashunt {

// Told of each datagram and its sender; the bytes are there during the call only.
using datagram_handler = std::function<void(const char* bytes, std::size_t size, const boost::asio::ip::udp::endpoint& sender)>;

// Sends and receives datagrams from one socket. One that cannot be sent at once is lost, as
// any datagram may be.
class datagram_socket {
public:
    // Throws boost::system::system_error if the address, "IP:port", cannot be bound.
    datagram_socket(boost::asio::io_context&, const std::string& listenAddress, datagram_handler);
    ~datagram_socket();

    datagram_socket(const datagram_socket&) = delete;
    datagram_socket& operator=(const datagram_socket&) = delete;

    // Whether the operating system took it. The address is "IP:port".
    bool send(const std::string& address, const std::vector<char>& bytes);
    bool send(const boost::asio::ip::udp::endpoint&, const std::vector<char>& bytes);

private:
    struct state;

    std::shared_ptr<state> m_state;
};

// Nothing for a text that is no "IP:port".
std::optional<boost::asio::ip::udp::endpoint> udpEndpoint(const std::string& address);

// Whether a UDP socket could be bound to the address at this moment.
bool isUdpPortFree(boost::asio::io_context&, const std::string& address);

}
