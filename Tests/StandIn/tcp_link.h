#pragma once

#include "StandIn/proxy_link.h"
#include "StandIn/tcp_relay.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace vanillashunt {

// Relays the TCP connections of one link.
class tcp_link {
public:
    // Both outlive this. The link's port is set to the one that is bound.
    tcp_link(boost::asio::io_context&, proxy_link&, link_counters&, fault_rules&);
    ~tcp_link();

    // Looks at the faults again after they have changed.
    void resume();

    std::size_t openConnections() const { return m_relays.size(); }

private:
    using relay_pointer = std::weak_ptr<tcp_relay>;

    // An answer that waits for one of another connection to change places with.
    struct waiting_answer {
        relay_pointer from;
        answer_part part;
    };

    void accept();
    void relay(boost::asio::ip::tcp::socket);
    void swap(const relay_pointer& from, const answer_part&);
    void endSwaps();

    boost::asio::io_context& m_io;
    proxy_link& m_link;
    link_counters& m_counters;
    fault_rules& m_rules;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<tcp_relay>> m_relays;
    waiting_answer m_waiting;
    // Connections that get each other's answers.
    std::map<relay_pointer, relay_pointer, std::owner_less<relay_pointer>> m_partners;
    // Tells a late event whether the link is still there.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
