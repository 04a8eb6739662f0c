#pragma once

#include "peer/datagram_socket.h"
#include "quota/quota_exchange.h"

#include <boost/asio/io_context.hpp>
#include <json/value.h>

#include <cstdint>
#include <string>

namespace vanillashunt {

// Runs the quota exchange of one node over UDP datagrams.
class quota_service {
public:
    using time_point = quota_exchange::time_point;

    // Listens at the address, "IP:port"; throws boost::system::system_error if it cannot be
    // bound. `randomBelow` returns a random number below its argument. `started` is the start
    // time of the process.
    quota_service(boost::asio::io_context&, const std::string& listenAddress, const std::string& meshName, quota_settings, std::function<std::uint64_t(std::uint64_t bound)> randomBelow, time_point started);

    quota_exchange& exchange() { return m_exchange; }

    // This node's state of an organisation's quota, in the format of the command quota.
    Json::Value standingOf(const std::string& organisation, time_point now);

    // The state and the counters of this node, without any API keys.
    Json::Value dump(time_point now) const;

private:
    quota_hooks exchangeHooks(std::function<std::uint64_t(std::uint64_t bound)> randomBelow);
    template <typename Address>
    void send(const Address&, const quota_message&);
    void datagramReceived(const char* bytes, std::size_t size, const boost::asio::ip::udp::endpoint& sender);

    std::uint64_t m_checksumSeed;
    quota_exchange m_exchange;
    datagram_socket m_socket;
    // Datagrams received that contain no valid quota message.
    std::uint64_t m_invalidDatagrams = 0;
    // Messages that could not be sent.
    std::uint64_t m_unsent = 0;
};

}
