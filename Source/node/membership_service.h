#pragma once

#include "decision/member.h"
#include "platform/store_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace vanillashunt {

struct membership_hooks {
    // Called with each change of what this node knows of the members.
    std::function<void(member_list)> membersChanged;
};

// Keeps what this node knows of the other nodes, and lets them know of this one.
class membership_service {
public:
    // The store outlives the service.
    membership_service(boost::asio::io_context&, store_client&, membership_hooks);

    // Starts with the own entry; addresses are as advertised.
    void start(const member& self);

    // Lets the others know of a change of the own entry: service, slots or state.
    void setSelf(const member& self);

private:
    void poll();
    void readMembers(const store_range&);

    store_client& m_store;
    membership_hooks m_hooks;
    boost::asio::steady_timer m_timer;
    std::chrono::steady_clock::time_point m_started = std::chrono::steady_clock::now();
    member m_self;
    std::int64_t m_writtenRevision = 0;
};

}
