#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>

namespace vanillashunt {

// Reads "IP:port" or "[IPv6]:port"; no names are looked up.
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string& text);

std::string toString(const boost::asio::ip::tcp::endpoint&);

// Binds an acceptor to "IP:port" and listens. Throws boost::system::system_error
// that names the address.
void listenOn(boost::asio::ip::tcp::acceptor&, const std::string& address);

// Has the system notice, within seconds, a connection that has gone silent: one
// whose bytes nobody acknowledges, and one on which nothing is under way.
void watchLiveness(boost::asio::ip::tcp::socket&);

// Opens a socket for an outgoing connection, bound to the address of the own
// instance where one is set, so that the other side can tell who calls. Its
// liveness is watched.
void openOutgoing(boost::asio::ip::tcp::socket&, const boost::asio::ip::tcp::endpoint& target,
    const std::string& outgoingAddress, boost::system::error_code&);

}
