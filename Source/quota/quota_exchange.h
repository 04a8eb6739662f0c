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
    // Number of zones that share every limit equally, whether they reach each other or not.
    std::size_t zones = 1;
    quota_tolerance tolerance;
};

struct quota_hooks {
    // Sends a message, which may be lost, to a member.
    std::function<void(const member&, const quota_message&)> send;
    // Returns a random number below the bound.
    std::function<std::uint64_t(std::uint64_t bound)> chance;
};

// Counters since the start of the process.
struct quota_counts {
    std::uint64_t asks = 0;
    std::uint64_t unanswered = 0;
    // Quota lent to and borrowed from the pools of other zones.
    std::uint64_t lent = 0;
    std::uint64_t borrowed = 0;
};

// One node's view of an organisation's quota.
struct quota_status {
    organisation_quota quota;
    // Requests that this node admitted in the last seconds, and those that wait here.
    std::uint32_t admitted = 0;
    std::size_t waiting = 0;
    // Requests available in this node's pool, if it owns the pool of its zone.
    std::optional<double> pool;
};

// Enforces the organisations' limits across all nodes. Connects this node's account, the pool of
// its zone if this node owns it, and the messages between nodes.
//
// Every limit is divided equally among the availability zones and then among the nodes of a zone.
// Each node gives its share, as it accrues, to the pool of its zone; nodes that have requests ask
// that pool for quota. A pool that runs short asks the pools of the other zones. The nodes need no
// consensus: a share is given away once only, and is not replaced if it is lost.
class quota_exchange {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // started: when the process started.
    quota_exchange(quota_settings, quota_hooks, time_point started);

    void setConfiguration(const route_configuration&, time_point now);
    void setMembers(const member_list&, time_point now);

    // The same as in quota_account.
    std::uint64_t take(const quota_request& request, quota_handler handler, time_point now);
    void cancel(std::uint64_t requestId) { m_account.cancel(requestId); }
    void giveBack(const std::string& organisation, time_point now) { m_account.giveBack(organisation, now); }

    // Handles a message of another node; returns the answer for its sender, if there is one.
    std::optional<quota_message> receive(const quota_message&, time_point now);

    // Has to be called every few tens of milliseconds.
    void tick(time_point now);

    // nullopt for an organisation without a limit.
    std::optional<quota_status> statusOf(const std::string& organisation, time_point now);

    const quota_counts& counts() const { return m_counts; }
    // This node's share of every limit, from 0 to 1.
    double share() const { return m_share; }
    std::size_t waiting() const { return m_account.waiting(); }
    // The node whose pool this node uses; nullopt if that is its own.
    std::optional<member> owner(time_point now) const;

private:
    // Which part of this node a message was sent for.
    enum class purpose {
        Account,
        Accrual,
        Pool,
    };

    // A message that has not been answered yet.
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
    void accrueShare(time_point now);
    void giveToPool(time_point now);
    void askOtherZones(time_point now);
    void expirePending(time_point now);

    quota_settings m_settings;
    quota_hooks m_hooks;
    zone_node_counter m_nodeCounter;
    pool_owner_selector m_poolOwners;
    quota_pool m_pool;
    quota_account m_account;
    quota_counts m_counts;
    // Whether any organisation has a limit.
    bool m_hasLimits = false;
    quota_table m_quotas;
    std::uint32_t m_sequence = 0;
    std::map<std::uint32_t, pending> m_pending;
    double m_share = 0;
    // The time for which this node's share has accrued and not been given away.
    std::chrono::duration<double> m_unused { 0 };
    time_point m_lastAccrual;
    time_point m_nextAccrual;
    time_point m_nextShortage;
};

}
