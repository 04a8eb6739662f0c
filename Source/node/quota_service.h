#pragma once

#include "peer/datagram_socket.h"
#include "quota/quota_exchange.h"

#include <boost/asio/io_context.hpp>
#include <json/value.h>

#include <cstdint>
#include <string>

namespace vanillashunt {

// The quota exchange of one node, on datagrams.
class quota_service {
public:
    using time_point = quota_exchange::time_point;

    // Listens at the address, "IP:port"; throws boost::system::system_error if it cannot be
    // bound. The time is when the process started.
    quota_service(boost::asio::io_context&, const std::string& listenAddress, const std::string& meshName, quota_settings, std::function<std::uint64_t(std::uint64_t bound)> chance, time_point started);

    quota_exchange& exchange() { return m_exchange; }

    // What is known here of an organisation's limit, as the command quota prints it.
    Json::Value standingOf(const std::string& organisation, time_point now);

    // What this node holds and has seen; no key stands in it.
    Json::Value dump(time_point now) const;

private:
    quota_hooks exchangeHooks(std::function<std::uint64_t(std::uint64_t bound)> chance);
    template <typename Address>
    void send(const Address&, const quota_message&);
    void arrived(const char* bytes, std::size_t size, const boost::asio::ip::udp::endpoint& sender);

    std::uint64_t m_checksumSeed;
    quota_exchange m_exchange;
    datagram_socket m_socket;
    // Datagrams that were no message on quotas, and messages that were not sent.
    std::uint64_t m_garbage = 0;
    std::uint64_t m_unsent = 0;
};

}
