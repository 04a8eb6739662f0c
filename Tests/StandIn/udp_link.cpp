#include "StandIn/udp_link.h"

#include "StandIn/event_loop.h"

#include <boost/asio/buffer.hpp>

namespace vanillashunt {

udp_link::flow::flow(boost::asio::io_context& io, const endpoint& source)
    : source(source)
    , socket(io, source.protocol())
    , bytes()
{
    // A source on another machine has no address here; then any will do.
    boost::system::error_code error;
    socket.bind({ source.address(), 0 }, error);
    if (error) {
        socket.bind({ source.protocol(), 0 });
    }
}

udp_link::udp_link(boost::asio::io_context& io, proxy_link& link, link_counters& counters, fault_rules& rules, std::mt19937_64& random)
    : m_io(io)
    , m_link(link)
    , m_counters(counters)
    , m_rules(rules)
    , m_random(random)
    , m_socket(io, { link.listen.ip, link.listen.port })
{
    m_link.listen.port = m_socket.local_endpoint().port();
    receive();
}

udp_link::~udp_link()
{
    *m_alive = false;
}

void udp_link::receive()
{
    m_socket.async_receive_from(boost::asio::buffer(m_buffer), m_sender, [this, alive = m_alive](boost::system::error_code error, std::size_t length) {
        if (!*alive || error == boost::asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            pass(m_sender, std::string(m_buffer.data(), length), false);
        }
        receive();
    });
}

void udp_link::receiveAnswer(const std::shared_ptr<flow>& from)
{
    from->socket.async_receive_from(boost::asio::buffer(from->bytes), from->sender, [this, alive = m_alive, from](boost::system::error_code error, std::size_t length) {
        if (!*alive || error == boost::asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            pass(from->source, std::string(from->bytes.data(), length), true);
        }
        receiveAnswer(from);
    });
}

std::shared_ptr<udp_link::flow> udp_link::flowOf(const endpoint& source)
{
    auto& found = m_flows[source];
    if (!found) {
        found = std::make_shared<flow>(m_io, source);
        receiveAnswer(found);
    }
    return found;
}

void udp_link::pass(const endpoint& source, std::string bytes, bool isAnswer)
{
    auto faults = m_rules.effects(source.address().to_string(), m_link.name, m_link.zone);
    bool isLost = std::bernoulli_distribution(faults.drop)(m_random);
    if (faults.isCut || isLost || !m_link.upstream) {
        ++m_counters.droppedDatagrams;
        return;
    }
    ++m_counters.datagrams;
    m_counters.datagramBytes += bytes.size();
    auto delay = faults.delay + (isAnswer ? faults.answerDelay : std::chrono::microseconds(0));
    if (delay.count() == 0) {
        deliver(source, bytes, isAnswer);
        return;
    }
    callAfter(m_io, delay, [this, alive = m_alive, source, bytes = std::move(bytes), isAnswer] {
        if (*alive) {
            deliver(source, bytes, isAnswer);
        }
    });
}

void udp_link::deliver(const endpoint& source, const std::string& bytes, bool isAnswer)
{
    boost::system::error_code ignored;
    if (isAnswer) {
        m_socket.send_to(boost::asio::buffer(bytes), source, 0, ignored);
        return;
    }
    endpoint upstream(m_link.upstream->ip, m_link.upstream->port);
    flowOf(source)->socket.send_to(boost::asio::buffer(bytes), upstream, 0, ignored);
}

}
