#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace vanillashunt {

// Whether the peer has closed or reset the connection, or has shut down its sending side. Unlike a read,
// this is noticed although received bytes are unread. A close behind bytes that do not fit into the
// receive buffer is not noticed.
bool isClosedByPeer(boost::asio::ip::tcp::socket&);

}
