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

// Called for each received datagram. The bytes are valid only during the call.
using datagram_handler = std::function<void(const char* bytes, std::size_t size, const boost::asio::ip::udp::endpoint& sender)>;

// Sends and receives datagrams over one UDP socket. A datagram that cannot be sent
// immediately is dropped: UDP does not guarantee delivery anyway.
class datagram_socket {
public:
    // Throws boost::system::system_error if the address, "IP:port", cannot be bound.
    datagram_socket(boost::asio::io_context&, const std::string& listenAddress, datagram_handler);
    ~datagram_socket();

    datagram_socket(const datagram_socket&) = delete;
    datagram_socket& operator=(const datagram_socket&) = delete;

    // Returns whether the operating system accepted the datagram. The address is "IP:port".
    bool send(const std::string& address, const std::vector<char>& bytes);
    bool send(const boost::asio::ip::udp::endpoint&, const std::vector<char>& bytes);

private:
    struct state;

    std::shared_ptr<state> m_state;
};

// Parses "IP:port"; returns nothing for any other text.
std::optional<boost::asio::ip::udp::endpoint> udpEndpoint(const std::string& address);

// Whether a UDP socket can currently be bound to the address.
bool isUdpPortFree(boost::asio::io_context&, const std::string& address);

}
