#include "StandIn/tcp_link.h"

#include "StandIn/event_loop.h"

namespace vanillashunt {

tcp_link::tcp_link(boost::asio::io_context& io, proxy_link& link, link_counters& counters, fault_rules& rules)
    : m_io(io)
    , m_link(link)
    , m_counters(counters)
    , m_rules(rules)
    , m_acceptor(io, { link.listen.ip, link.listen.port })
{
    m_link.listen.port = m_acceptor.local_endpoint().port();
    accept();
}

tcp_link::~tcp_link()
{
    *m_alive = false;
    auto relays = m_relays;
    for (const auto& each : relays) {
        each->close();
    }
}

void tcp_link::accept()
{
    m_acceptor.async_accept([this, alive = m_alive](boost::system::error_code error, boost::asio::ip::tcp::socket socket) {
        if (!*alive || error == boost::asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            relay(std::move(socket));
        }
        accept();
    });
}

void tcp_link::relay(boost::asio::ip::tcp::socket socket)
{
    if (!m_link.upstream) {
        ++m_counters.refused;
        return;
    }
    ++m_counters.accepted;
    tcp_endpoint upstream(m_link.upstream->ip, m_link.upstream->port);
    auto added = std::make_shared<tcp_relay>(m_io, std::move(socket), upstream);
    m_relays.insert(added);
    relay_pointer weak = added;
    added->start({
        [this](const std::string& source) { return m_rules.effects(source, m_link.name, m_link.zone); },
        [this, weak](const answer_part& part) { swap(weak, part); },
        [this](std::uint64_t rule) { m_rules.noteClosed(rule); },
        [this, weak] { m_relays.erase(weak.lock()); },
    });
}

void tcp_link::swap(const relay_pointer& from, const answer_part& part)
{
    if (auto partner = m_partners[from].lock()) {
        partner->sendToClient(part);
        return;
    }
    auto one = from.lock();
    auto other = m_waiting.from.lock();
    if (!other || other == one) {
        auto earlier = other ? m_waiting.part.bytes : "";
        m_waiting = { from, { earlier + part.bytes, part.isEnd } };
        return;
    }
    m_partners[from] = other;
    m_partners[other] = from;
    other->sendToClient(part);
    one->sendToClient(m_waiting.part);
    m_waiting = {};
}

void tcp_link::endSwaps()
{
    if (auto waiting = m_waiting.from.lock()) {
        waiting->sendToClient(m_waiting.part);
    }
    m_waiting = {};
    m_partners.clear();
}

void tcp_link::resume()
{
    if (!m_rules.hasSwap()) {
        endSwaps();
    }
    auto relays = m_relays;
    for (const auto& each : relays) {
        each->resume();
    }
}

}
