#include "peer/gossip_socket.h"

#include "events/event_catalogue.h"
#include "peer/datagram_checksum.h"
#include "peer/gossip_codec.h"

namespace vanillashunt {

namespace {

    // Limits the log lines that a flood of invalid datagrams can cause.
    constexpr std::uint32_t maxLogLines = 2;
    constexpr std::chrono::seconds logInterval { 10 };

    void count(std::array<gossip_traffic, gossipKindCount>& traffic, gossip_kind kind, std::size_t bytes)
    {
        auto& entry = traffic.at(static_cast<std::size_t>(kind));
        ++entry.datagrams;
        entry.bytes += bytes;
    }

}

std::string toString(gossip_kind kind)
{
    constexpr std::array<const char*, gossipKindCount> names { "", "ping", "ack", "ping_request", "ping_accepted",
        "push", "digest", "bucket_digest", "pull", "entries" };
    return names.at(static_cast<std::size_t>(kind));
}

gossip_socket::gossip_socket(boost::asio::io_context& context, const std::string& listenAddress, const std::string& meshName, gossip_handler handler)
    : m_checksumSeed(meshChecksumSeed(meshName))
    , m_handler(std::move(handler))
    , m_logLimiter(maxLogLines, logInterval)
    , m_socket(context, listenAddress, [this](const char* bytes, std::size_t size, const boost::asio::ip::udp::endpoint& sender) { datagramReceived(bytes, size, sender); })
{
}

void gossip_socket::datagramReceived(const char* bytes, std::size_t size, const boost::asio::ip::udp::endpoint& sender)
{
    auto message = decodeGossip(bytes, size, m_checksumSeed);
    if (!message) {
        ++m_counts.garbage;
        logDropped(sender);
        return;
    }
    count(m_counts.received, message->kind, size);
    m_handler(std::move(*message));
}

void gossip_socket::logDropped(const boost::asio::ip::udp::endpoint& sender)
{
    auto suppressed = m_logLimiter.take(events::gossipDropped, std::chrono::steady_clock::now());
    if (!suppressed) {
        return;
    }
    auto address = sender.address().to_string() + ':' + std::to_string(sender.port());
    logEvent(events::gossipDropped, { { "sender", address }, { "left_out", std::to_string(*suppressed) } });
}

void gossip_socket::send(const std::string& address, const gossip_message& message)
{
    auto bytes = encodeGossip(message, m_checksumSeed);
    if (bytes.empty() || !m_socket.send(address, bytes)) {
        ++m_counts.unsent;
        return;
    }
    count(m_counts.sent, message.kind, bytes.size());
}

}
