#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>

namespace vanillashunt {

// Parses "IP:port" or "[IPv6]:port"; does not resolve host names. Returns nothing for any
// other text.
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string& text);

std::string toString(const boost::asio::ip::tcp::endpoint&);

// Binds an acceptor to "IP:port" and listens. Throws boost::system::system_error, whose
// message contains the address, on failure.
void listenOn(boost::asio::ip::tcp::acceptor&, const std::string& address);

// Makes the operating system detect within seconds that the peer has become unreachable
// without closing the connection: by unacknowledged data, or by keep-alive probes while
// nothing is being sent.
void enableDeadPeerDetection(boost::asio::ip::tcp::socket&);

// Opens a socket for an outgoing connection and enables dead peer detection. The socket is
// bound to outgoingAddress, the IP address of this instance, unless it is empty, so that
// the other side can identify the caller.
void openOutgoing(boost::asio::ip::tcp::socket&, const boost::asio::ip::tcp::endpoint& target,
    const std::string& outgoingAddress, boost::system::error_code&);

}
