#pragma once

#include "events/event_limiter.h"
#include "membership/gossip_message.h"
#include "peer/datagram_socket.h"

#include <boost/asio/io_context.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <string>

namespace vanillashunt {

struct gossip_traffic {
    std::uint64_t datagrams = 0;
    std::uint64_t bytes = 0;
};

struct gossip_counts {
    // Indexed by gossip_kind.
    std::array<gossip_traffic, gossipKindCount> sent;
    std::array<gossip_traffic, gossipKindCount> received;
    // Received datagrams that were dropped because they were not gossip, came from another mesh
    // or were corrupted.
    std::uint64_t garbage = 0;
    // Messages that could not be encoded or that the operating system did not accept.
    std::uint64_t unsent = 0;
};

// Name of the message kind, as shown in the membership dump.
std::string toString(gossip_kind);

using gossip_handler = std::function<void(gossip_message)>;

// Sends and receives gossip messages over one UDP socket that is bound to the peer port. A
// datagram that cannot be sent immediately is dropped: UDP does not guarantee delivery anyway.
class gossip_socket {
public:
    // Throws boost::system::system_error if the address, "IP:port", cannot be bound.
    gossip_socket(boost::asio::io_context&, const std::string& listenAddress, const std::string& meshName, gossip_handler);

    void send(const std::string& address, const gossip_message&);

    const gossip_counts& counts() const { return m_counts; }

private:
    void datagramReceived(const char* bytes, std::size_t size, const boost::asio::ip::udp::endpoint& sender);
    void logDropped(const boost::asio::ip::udp::endpoint& sender);

    std::uint64_t m_checksumSeed;
    gossip_handler m_handler;
    event_limiter m_logLimiter;
    gossip_counts m_counts;
    datagram_socket m_socket;
};

}
