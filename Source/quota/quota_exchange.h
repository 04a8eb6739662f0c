#pragma once

#include "quota/pool_owner_selector.h"
#include "quota/quota_account.h"
#include "quota/quota_message.h"
#include "quota/zone_node_counter.h"
#include "routes/route_configuration.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace vanillashunt {

struct quota_settings {
    std::uint64_t selfId = 0;
    std::string availabilityZone;
    // Zones that share every limit evenly, whether they reach each other or not.
    std::size_t zones = 1;
    quota_tolerance tolerance;
};

struct quota_hooks {
    // Sends a message to a member, which may be lost.
    std::function<void(const member&, const quota_message&)> send;
    // Returns a random number below its argument.
    std::function<std::uint64_t(std::uint64_t bound)> chance;
};

// Since the start of the process.
struct quota_counts {
    std::uint64_t asks = 0;
    std::uint64_t unanswered = 0;
    // Given to and by the pools of other zones.
    std::uint64_t lent = 0;
    std::uint64_t borrowed = 0;
};

// What one node knows of an organisation's limit.
struct quota_status {
    organisation_quota quota;
    // Requests that it let through in the last seconds, and those that wait here.
    std::uint32_t admitted = 0;
    std::size_t waiting = 0;
    // What its pool has, where it is one.
    std::optional<double> pool;
};

// Keeps the organisations' limits over all nodes together: joins this node's account, the pool
// of its zone where that is here, and the messages between nodes.
//
// Every limit is divided evenly by availability zone and then by node. Each node gives its part,
// as it accrues, to the pool of its zone, where whoever has requests asks for them; a pool that
// runs short asks those of the other zones. Nothing has to be agreed on: a part is given away
// once, and what is lost is lost.
class quota_exchange {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // The time is when the process started.
    quota_exchange(quota_settings, quota_hooks, time_point started);

    void setConfiguration(const route_configuration&, time_point now);
    void setMembers(const member_list&, time_point now);

    // As those of the account.
    std::uint64_t take(const quota_request& request, quota_handler handler, time_point now);
    void cancel(std::uint64_t requestId) { m_account.cancel(requestId); }
    void giveBack(const std::string& organisation, time_point now) { m_account.giveBack(organisation, now); }

    // Another node's message; returns the answer to its sender, if there is one.
    std::optional<quota_message> receive(const quota_message&, time_point now);

    // To be called every few ten milliseconds.
    void tick(time_point now);

    // What is known here of an organisation's limit; nothing for one without.
    std::optional<quota_status> statusOf(const std::string& organisation, time_point now);

    const quota_counts& counts() const { return m_counts; }
    // This node's part of every limit, from 0 to 1.
    double share() const { return m_share; }
    std::size_t waiting() const { return m_account.waiting(); }
    // Whose pool this node uses; nothing if that is its own.
    std::optional<member> owner(time_point now) const;

private:
    enum class purpose {
        Account,
        Accrual,
        Pool,
    };

    // A message that is to be answered.
    struct pending {
        std::uint64_t memberId = 0;
        purpose use = purpose::Account;
        time_point sent {};
    };

    quota_account_hooks accountHooks();
    std::uint32_t nextSequence();
    void ask(std::uint32_t sequence, const quota_ask&, time_point now);
    quota_message answer(const quota_message&, time_point now);
    void answered(const quota_message&, time_point now);
    void send(const member&, quota_message, purpose, time_point now);
    void measure(time_point now);
    void giveToPool(time_point now);
    void askOtherZones(time_point now);
    void giveUpPending(time_point now);

    quota_settings m_settings;
    quota_hooks m_hooks;
    zone_node_counter m_census;
    pool_owner_selector m_owners;
    quota_pool m_pool;
    quota_account m_account;
    quota_counts m_counts;
    // Whether any organisation has a limit.
    bool m_isNeeded = false;
    quota_table m_quotas;
    std::uint32_t m_sequence = 0;
    std::map<std::uint32_t, pending> m_pending;
    double m_share = 0;
    // Time of this node's part that is not given away.
    std::chrono::duration<double> m_unused { 0 };
    time_point m_measured;
    time_point m_nextAccrual;
    time_point m_nextShortage;
};

}
