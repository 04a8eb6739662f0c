#include "http/peer_close.h"

#include <poll.h>

namespace vanillashunt {

bool isClosedByPeer(boost::asio::ip::tcp::socket& socket)
{
    pollfd polled { socket.native_handle(), POLLRDHUP, 0 };
    constexpr int closedEvents = POLLRDHUP | POLLHUP | POLLERR;
    return ::poll(&polled, 1, 0) > 0 && (polled.revents & closedEvents) != 0;
}

}
