#include "peer/gossip_socket.h"

#include "http/socket_address.h"
#include "peer/gossip_codec.h"

#include <boost/asio.hpp>

namespace vanillashunt {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

namespace {

    constexpr std::size_t longestDatagram = 65536;
    constexpr int receiveBufferBytes = 1024 * 1024;
    // Datagrams that are taken before other work has its turn.
    constexpr int datagramsPerTurn = 64;

    std::optional<udp::endpoint> udpEndpoint(const std::string& address)
    {
        auto endpoint = parseEndpoint(address);
        if (!endpoint) {
            return std::nullopt;
        }
        return udp::endpoint(endpoint->address(), endpoint->port());
    }

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

bool isUdpPortFree(asio::io_context& context, const std::string& address)
{
    auto endpoint = udpEndpoint(address);
    if (!endpoint) {
        return false;
    }
    udp::socket socket(context);
    error_code error;
    socket.open(endpoint->protocol(), error);
    socket.bind(*endpoint, error);
    return !error;
}

struct gossip_socket::state : std::enable_shared_from_this<gossip_socket::state> {
    state(asio::io_context& context, gossip_handler messageHandler)
        : socket(context)
        , handler(std::move(messageHandler))
    {
    }

    void receive()
    {
        socket.async_wait(udp::socket::wait_read, [self = shared_from_this()](error_code error) {
            if (!error && self->socket.is_open()) {
                self->readAll();
                self->receive();
            }
        });
    }

    void readAll()
    {
        for (int i = 0; i < datagramsPerTurn; ++i) {
            udp::endpoint sender;
            error_code error;
            auto size = socket.receive_from(asio::buffer(buffer), sender, 0, error);
            if (error == asio::error::would_block || !socket.is_open()) {
                return;
            }
            if (!error) {
                read(size);
            }
        }
    }

    void read(std::size_t size)
    {
        auto message = decodeGossip(buffer.data(), size);
        if (!message) {
            ++counts.garbage;
            return;
        }
        count(counts.received, message->kind, size);
        handler(std::move(*message));
    }

    udp::socket socket;
    gossip_handler handler;
    gossip_counts counts;
    std::vector<char> buffer = std::vector<char>(longestDatagram);
};

gossip_socket::gossip_socket(asio::io_context& context, const std::string& listenAddress, gossip_handler handler)
    : m_state(std::make_shared<state>(context, std::move(handler)))
{
    auto endpoint = udpEndpoint(listenAddress);
    if (!endpoint) {
        throw boost::system::system_error(asio::error::invalid_argument, "cannot listen for gossip on '" + listenAddress + "'");
    }
    auto& socket = m_state->socket;
    socket.open(endpoint->protocol());
    socket.bind(*endpoint);
    socket.non_blocking(true);
    error_code ignored;
    socket.set_option(udp::socket::receive_buffer_size(receiveBufferBytes), ignored);
    m_state->receive();
}

gossip_socket::~gossip_socket()
{
    error_code ignored;
    m_state->socket.close(ignored);
}

void gossip_socket::send(const std::string& address, const gossip_message& message)
{
    auto endpoint = udpEndpoint(address);
    auto bytes = encodeGossip(message);
    error_code error = asio::error::invalid_argument;
    if (endpoint && !bytes.empty()) {
        m_state->socket.send_to(asio::buffer(bytes), *endpoint, 0, error);
    }
    if (error) {
        ++m_state->counts.unsent;
        return;
    }
    count(m_state->counts.sent, message.kind, bytes.size());
}

const gossip_counts& gossip_socket::counts() const
{
    return m_state->counts;
}

}
