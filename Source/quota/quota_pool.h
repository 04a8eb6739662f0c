#pragma once

#include "routes/organisation.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillashunt {

// Asks for quota for requests of one organisation.
struct quota_ask {
    std::string organisation;
    std::uint32_t count = 0;
    // How many of them are asked for the first time.
    std::uint32_t fresh = 0;
};

// Grants quota for requests of one organisation.
struct quota_grant {
    std::string organisation;
    std::uint32_t count = 0;
    // When more is expected, if less was granted than asked for.
    std::chrono::milliseconds wait { 0 };
};

using quota_table = std::unordered_map<std::string, organisation_quota>;

// By how much all nodes together may exceed a limit, since no node knows of all requests: in any
// window, by this fraction of what the limit allows there plus the slack.
struct quota_tolerance {
    double fraction = 0;
    std::chrono::duration<double> window { 0 };
    // Number of requests.
    double slack = 0;
};

// What a node gives to a pool: its share of every limit, for a time that has passed.
struct quota_accrual {
    // The incarnation of the node.
    std::uint64_t node = 0;
    // Its share of every limit, from 0 to 1.
    double share = 0;
    // The time for which the share has accrued.
    std::chrono::duration<double> time { 0 };
};

// The quota that is available to the organisations in one availability zone. One node of the zone
// collects the shares of all its nodes and grants them to the nodes that have requests.
//
// A node gives away only shares that have accrued, each once, to one pool. Therefore all pools
// together never hold more than the limits allow, even if nodes have wrong views of each other,
// are partitioned or suspended, or run twice. A pool whose node ends loses its content, which no
// other node has to know.
class quota_pool {
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit quota_pool(const quota_tolerance&);

    // Sets the limits by organisation. They apply at once, also to quota collected before.
    void setQuotas(const quota_table&);

    // Adds a node's share.
    void accrue(const quota_accrual&, time_point now);

    // Grants as much as is available, up to the count.
    quota_grant take(const quota_ask&, time_point now);

    // The same for the pool of another zone, which gets at most half of what is available, and
    // nothing if this pool runs short, too.
    quota_grant lend(const quota_ask&, time_point now);

    // Takes back a grant that a node did not use.
    void put(const quota_grant&, time_point now);

    // Adds a grant of another zone's pool, which may be empty.
    void borrowed(const quota_grant&, time_point now);

    // What to ask the pools of the other zones for: quota that could not be granted recently.
    // Lists each organisation only once per period. The counts are to be asked of each zone.
    std::vector<quota_ask> shortages(std::size_t otherZones, time_point now);

    // Number of requests that the organisation may make now.
    double available(const std::string& organisation, time_point now);

private:
    struct bucket {
        organisation_quota quota;
        double tokens = 0;
        // The part of the pool's supply that has been added to the tokens.
        double supplied = 0;
        // Requests that were asked for but not granted, decaying exponentially.
        double unmet = 0;
        time_point unmetUpdated {};
        time_point nextShortage {};
        // When other zones were first asked after a pause, and when one last lent quota.
        time_point othersAsked {};
        time_point othersLent {};
    };

    // A node that gives its share to this pool.
    struct contributor {
        double share = 0;
        time_point lastAccrual {};
    };

    bucket* refill(const std::string& organisation, time_point now);
    double capacityOf(const bucket&) const;
    double updateShare(time_point now);
    static bool isShort(const bucket&, time_point now);
    static void addUnmet(bucket&, double count, time_point now);
    static bool mayBorrow(const bucket&, time_point now);
    std::chrono::milliseconds waitFor(const bucket&, std::uint32_t count, time_point now) const;

    quota_tolerance m_tolerance;
    std::unordered_map<std::string, bucket> m_buckets;
    std::unordered_map<std::uint64_t, contributor> m_contributors;
    // Sum of the contributors' shares.
    double m_share = 0;
    time_point m_shareUpdated {};
    // Sum of all accrued times, weighted by the nodes' shares; in seconds.
    double m_supply = 0;
};

}
