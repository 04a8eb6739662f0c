#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>

#include <string>

namespace vanillashunt {

// The value of a field in the head of an HTTP message; empty if it has none.
inline std::string fieldOf(const std::string& head, const std::string& name)
{
    auto place = head.find("\r\n" + name + ": ");
    if (place == std::string::npos) {
        return "";
    }
    place += name.size() + 4;
    return head.substr(place, head.find("\r\n", place) - place);
}

// Reads the next head of an HTTP message, with the empty line behind it; empty if the connection ends first. What
// has been received behind it stays in the buffer.
inline std::string readHead(boost::asio::ip::tcp::socket& socket, std::string& received)
{
    boost::system::error_code error;
    auto count = boost::asio::read_until(socket, boost::asio::dynamic_buffer(received), "\r\n\r\n", error);
    if (error) {
        return "";
    }
    auto head = received.substr(0, count);
    received.erase(0, count);
    return head;
}

}
