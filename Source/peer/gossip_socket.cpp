#include "peer/gossip_socket.h"

#include "peer/gossip_codec.h"

namespace vanillashunt {

namespace {

    void count(std::array<gossip_traffic, gossipKindCount>& traffic, gossip_kind kind, std::size_t bytes)
    {
        auto& entry = traffic.at(static_cast<std::size_t>(kind));
        ++entry.datagrams;
        entry.bytes += bytes;
    }

}

std::string toString(gossip_kind kind)
{
    constexpr std::array<const char*, gossipKindCount> words { "", "ping", "ack", "ping_request", "ping_accepted",
        "push", "digest", "bucket_digest", "pull", "entries" };
    return words.at(static_cast<std::size_t>(kind));
}

gossip_socket::gossip_socket(boost::asio::io_context& context, const std::string& listenAddress, gossip_handler handler)
    : m_handler(std::move(handler))
    , m_socket(context, listenAddress, [this](const char* bytes, std::size_t size, const boost::asio::ip::udp::endpoint&) { read(bytes, size); })
{
}

void gossip_socket::read(const char* bytes, std::size_t size)
{
    auto message = decodeGossip(bytes, size);
    if (!message) {
        ++m_counts.garbage;
        return;
    }
    count(m_counts.received, message->kind, size);
    m_handler(std::move(*message));
}

void gossip_socket::send(const std::string& address, const gossip_message& message)
{
    auto bytes = encodeGossip(message);
    if (bytes.empty() || !m_socket.send(address, bytes)) {
        ++m_counts.unsent;
        return;
    }
    count(m_counts.sent, message.kind, bytes.size());
}

}
