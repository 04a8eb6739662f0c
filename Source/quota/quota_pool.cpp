#include "quota/quota_pool.h"

#include <algorithm>
#include <cmath>

namespace vanillashunt {

namespace {

    using std::chrono::milliseconds;
    using seconds = std::chrono::duration<double>;

    // A node that was not heard of for so long has another pool.
    constexpr milliseconds lenderMemory { 1000 };
    constexpr milliseconds lenderCountPeriod { 100 };

    // For how long nodes hold what they have not given away or used: at most so much of a
    // limit is with them, and not in the pool.
    constexpr seconds heldByNodes { 0.4 };

    // Part of the slack that pools may hold; the rest is for what no node can know.
    constexpr double spentPartOfSlack = 0.5;

    // Over which refusals are remembered.
    constexpr seconds unmetMemory { 1 };
    // Between two words to the other zones on one organisation.
    constexpr milliseconds shortagePeriod { 40 };
    // An organisation is short while some of its requests were refused so lately.
    constexpr milliseconds shortMemory { 200 };
    // Less than this is no shortage.
    constexpr double leastUnmet = 0.5;

    // The other zones' pools answer within this; what they said is not asked again for a while.
    constexpr milliseconds borrowTime { 20 };
    constexpr milliseconds borrowMemory { 300 };

    constexpr milliseconds shortestWait { 10 };
    constexpr milliseconds startingWait { 150 };
    constexpr milliseconds longestWait { 5000 };

}

quota_pool::quota_pool(const quota_tolerance& tolerance)
    : m_tolerance(tolerance)
{
}

void quota_pool::setQuotas(const quota_table& quotas)
{
    for (auto each = m_buckets.begin(); each != m_buckets.end();) {
        each = quotas.count(each->first) == 0 ? m_buckets.erase(each) : std::next(each);
    }
    for (const auto& [organisation, quota] : quotas) {
        auto [found, isNew] = m_buckets.try_emplace(organisation);
        auto& entry = found->second;
        if (isNew) {
            entry.supplied = m_supply;
        }
        entry.quota = quota;
        entry.tokens = std::min(entry.tokens, capOf(entry));
    }
}

// The limit's burst, less what nodes hold beyond what is tolerated, in proportion to the nodes
// whose pool this is. Less than one would never become a whole request.
double quota_pool::capOf(const bucket& entry) const
{
    if (m_share <= 0) {
        return 0;
    }
    const auto& [rate, burst] = entry.quota;
    auto tolerated = m_tolerance.part * (rate * m_tolerance.window.count() + burst);
    auto held = std::max(0.0, rate * heldByNodes.count() - tolerated);
    auto depth = std::max(0.0, burst - held) + spentPartOfSlack * m_tolerance.slack;
    return std::max(1.0, depth * m_share);
}

double quota_pool::shareNow(time_point now)
{
    if (now - m_lendersCounted < lenderCountPeriod) {
        return m_share;
    }
    m_lendersCounted = now;
    m_share = 0;
    for (auto each = m_lenders.begin(); each != m_lenders.end();) {
        if (now - each->second.heard > lenderMemory) {
            each = m_lenders.erase(each);
            continue;
        }
        m_share += each->second.share;
        ++each;
    }
    return m_share;
}

void quota_pool::accrue(const quota_accrual& accrual, time_point now)
{
    auto& entry = m_lenders[accrual.node];
    m_share += accrual.share - entry.share;
    entry = { accrual.share, now };
    m_supply += accrual.share * accrual.time.count();
}

quota_pool::bucket* quota_pool::refill(const std::string& organisation, time_point now)
{
    auto found = m_buckets.find(organisation);
    if (found == m_buckets.end()) {
        return nullptr;
    }
    shareNow(now);
    auto& entry = found->second;
    entry.tokens += entry.quota.ratePerSecond * (m_supply - entry.supplied);
    entry.supplied = m_supply;
    entry.tokens = std::min(entry.tokens, capOf(entry));
    return &entry;
}

quota_grant quota_pool::take(const quota_ask& ask, time_point now)
{
    auto* entry = refill(ask.organisation, now);
    if (!entry) {
        return { ask.organisation, 0, longestWait };
    }
    auto given = std::min(ask.count, static_cast<std::uint32_t>(std::max(0.0, entry->tokens)));
    entry->tokens -= given;
    if (given == ask.count) {
        return { ask.organisation, given };
    }
    auto missing = ask.count - given;
    noteUnmet(*entry, std::min(ask.fresh, missing), now);
    return { ask.organisation, given, waitFor(*entry, missing, now) };
}

quota_grant quota_pool::lend(const quota_ask& ask, time_point now)
{
    auto* entry = refill(ask.organisation, now);
    if (!entry || isShort(*entry, now)) {
        return { ask.organisation };
    }
    auto spare = static_cast<std::uint32_t>(std::max(0.0, entry->tokens / 2));
    auto given = std::min(ask.count, spare);
    entry->tokens -= given;
    return { ask.organisation, given };
}

void quota_pool::put(const quota_grant& grant, time_point now)
{
    if (auto* entry = refill(grant.organisation, now)) {
        entry->tokens = std::min(entry->tokens + grant.count, std::max(entry->tokens, capOf(*entry)));
    }
}

void quota_pool::noteUnmet(bucket& entry, double count, time_point now)
{
    auto fade = std::exp(-(seconds(now - entry.unmetNoted) / unmetMemory));
    entry.unmet = entry.unmet * fade + count;
    entry.unmetNoted = now;
}

void quota_pool::borrowed(const quota_grant& grant, time_point now)
{
    auto found = m_buckets.find(grant.organisation);
    if (found == m_buckets.end() || grant.count == 0) {
        return;
    }
    found->second.othersLent = now;
    put(grant, now);
}

// Whether other zones may still answer, or have just given some.
bool quota_pool::mayBorrow(const bucket& entry, time_point now)
{
    auto sinceAsked = now - entry.othersAsked;
    return sinceAsked < borrowTime || sinceAsked > borrowMemory || now - entry.othersLent < borrowMemory / 2;
}

// What was refused before comes back, too, and earlier.
milliseconds quota_pool::waitFor(const bucket& entry, std::uint32_t count, time_point now) const
{
    if (mayBorrow(entry, now)) {
        return shortestWait;
    }
    auto rate = entry.quota.ratePerSecond * m_share;
    if (rate <= 0) {
        // Its nodes have just started.
        return startingWait;
    }
    auto missing = std::max(entry.unmet, static_cast<double>(count)) - entry.tokens;
    auto wait = std::min(missing / rate * 1000, static_cast<double>(longestWait.count()));
    return std::max(shortestWait, milliseconds(std::lround(wait)));
}

bool quota_pool::isShort(const bucket& entry, time_point now)
{
    return entry.unmet >= leastUnmet && now - entry.unmetNoted < shortMemory;
}

std::vector<quota_ask> quota_pool::shortages(std::size_t otherZones, time_point now)
{
    std::vector<quota_ask> result;
    if (otherZones == 0) {
        return result;
    }
    for (auto& [organisation, entry] : m_buckets) {
        if (!isShort(entry, now) || now < entry.nextShortage) {
            continue;
        }
        // More than fits would be lost.
        auto count = std::min(entry.unmet, capOf(entry) - entry.tokens) / static_cast<double>(otherZones);
        if (count <= 0) {
            continue;
        }
        entry.nextShortage = now + shortagePeriod;
        if (now - entry.othersAsked > borrowMemory) {
            entry.othersAsked = now;
        }
        auto whole = static_cast<std::uint32_t>(std::ceil(count));
        result.push_back({ organisation, whole, whole });
    }
    return result;
}

double quota_pool::available(const std::string& organisation, time_point now)
{
    const auto* entry = refill(organisation, now);
    return entry ? entry->tokens : 0;
}

}
