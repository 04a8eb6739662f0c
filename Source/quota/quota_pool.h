#pragma once

#include "routes/organisation.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillashunt {

// Requests of one organisation that are asked for.
struct quota_ask {
    std::string organisation;
    std::uint32_t count = 0;
    // Those among them that were not asked for before.
    std::uint32_t fresh = 0;
};

// Requests of one organisation that are given.
struct quota_grant {
    std::string organisation;
    std::uint32_t count = 0;
    // When more can be had, where it is less than was asked for.
    std::chrono::milliseconds wait { 0 };
};

using quota_table = std::unordered_map<std::string, organisation_quota>;

// What all nodes together may let through beyond a limit, since no node knows all: in any
// window this part of what the limit allows in it, and so many requests.
struct quota_tolerance {
    double part = 0;
    std::chrono::duration<double> window { 0 };
    double slack = 0;
};

// What a node gives away: its part of every limit, for a time that has passed.
struct quota_accrual {
    // The node; a random number of one start.
    std::uint64_t node = 0;
    // Its part of all nodes' limits, from 0 to 1.
    double share = 0;
    // The time that it has not used itself.
    std::chrono::duration<double> time { 0 };
};

// The requests that the organisations may have now, gathered at one node of an availability
// zone from the parts of its nodes, and given to whichever of them has requests.
//
// Only what has passed is given away, once, to one pool: whatever a node believes of the
// others, cut off, frozen or doubled, the pools together never have more than the limits
// allow. A pool that ends loses what it had, and nobody else has to know.
class quota_pool {
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit quota_pool(const quota_tolerance&);

    // Limits by organisation; in force at once, also for what was gathered before.
    void setQuotas(const quota_table&);

    void accrue(const quota_accrual&, time_point now);

    // Gives as many as there are, up to the count.
    quota_grant take(const quota_ask&, time_point now);

    // The same for the pool of another zone, which gets half of what is there, unless it is
    // short here, too.
    quota_grant lend(const quota_ask&, time_point now);

    // From a node that did not use it.
    void put(const quota_grant&, time_point now);

    // From another zone's pool, which may have had nothing.
    void borrowed(const quota_grant&, time_point now);

    // What was asked for in vain lately, and other zones may have; of each organisation now
    // and then only. The counts are what each of the other zones is to be asked for.
    std::vector<quota_ask> shortages(std::size_t otherZones, time_point now);

    // What there is of an organisation's now.
    double available(const std::string& organisation, time_point now);

private:
    struct bucket {
        organisation_quota quota;
        double tokens = 0;
        // Of the pool's supply, what has come into the tokens.
        double supplied = 0;
        // Requests that were not given lately, the latest counting most.
        double unmet = 0;
        time_point unmetNoted {};
        time_point nextShortage {};
        // When other zones were first asked after a while without, and last lent some.
        time_point othersAsked {};
        time_point othersLent {};
    };

    struct lender {
        double share = 0;
        time_point heard {};
    };

    bucket* refill(const std::string& organisation, time_point now);
    double capOf(const bucket&) const;
    double shareNow(time_point now);
    static bool isShort(const bucket&, time_point now);
    static void noteUnmet(bucket&, double count, time_point now);
    static bool mayBorrow(const bucket&, time_point now);
    std::chrono::milliseconds waitFor(const bucket&, std::uint32_t count, time_point now) const;

    quota_tolerance m_tolerance;
    std::unordered_map<std::string, bucket> m_buckets;
    std::unordered_map<std::uint64_t, lender> m_lenders;
    // Sum of the lenders' parts.
    double m_share = 0;
    time_point m_lendersCounted {};
    // All time that was given, each node's weighted by its part; in seconds.
    double m_supply = 0;
};

}
