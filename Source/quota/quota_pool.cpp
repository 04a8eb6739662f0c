#include "quota/quota_pool.h"

#include <algorithm>
#include <cmath>

namespace vanillashunt {

namespace {

    using std::chrono::milliseconds;
    using seconds = std::chrono::duration<double>;

    // A node that gave nothing for this long is assumed to use another pool.
    constexpr milliseconds contributorTimeout { 1000 };
    constexpr milliseconds shareUpdatePeriod { 100 };

    // How long nodes hold quota that they have neither given away nor used. At most this much of
    // a limit is held by nodes instead of the pool.
    constexpr seconds heldByNodes { 0.4 };

    // Fraction of the slack that pools may hold; the rest covers requests that no node can know of.
    constexpr double pooledSlackFraction = 0.5;

    // Time constant with which the count of unmet requests decays.
    constexpr seconds unmetDecayTime { 1 };
    // Time between two asks to the other zones for one organisation.
    constexpr milliseconds shortagePeriod { 40 };
    // An organisation counts as short for this long after requests could not be granted.
    constexpr milliseconds shortageTime { 200 };
    // Fewer unmet requests do not count as a shortage.
    constexpr double minUnmet = 0.5;

    // The pools of other zones answer within the first time. If they lent nothing, they are not
    // expected to lend within the second either.
    constexpr milliseconds borrowTime { 20 };
    constexpr milliseconds borrowPause { 300 };

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
    for (auto position = m_buckets.begin(); position != m_buckets.end();) {
        position = quotas.count(position->first) == 0 ? m_buckets.erase(position) : std::next(position);
    }
    for (const auto& [organisation, quota] : quotas) {
        auto [found, isNew] = m_buckets.try_emplace(organisation);
        auto& entry = found->second;
        if (isNew) {
            entry.supplied = m_supply;
        }
        entry.quota = quota;
        entry.tokens = std::min(entry.tokens, capacityOf(entry));
    }
}

// The maximum number of tokens: the limit's burst, less what nodes hold beyond the tolerance, in
// proportion to the share of the nodes that use this pool. It is at least 1, since a lower maximum
// would never admit a request.
double quota_pool::capacityOf(const bucket& entry) const
{
    if (m_share <= 0) {
        return 0;
    }
    const auto& [rate, burst] = entry.quota;
    auto tolerated = m_tolerance.fraction * (rate * m_tolerance.window.count() + burst);
    auto held = std::max(0.0, rate * heldByNodes.count() - tolerated);
    auto capacity = std::max(0.0, burst - held) + pooledSlackFraction * m_tolerance.slack;
    return std::max(1.0, capacity * m_share);
}

double quota_pool::updateShare(time_point now)
{
    if (now - m_shareUpdated < shareUpdatePeriod) {
        return m_share;
    }
    m_shareUpdated = now;
    m_share = 0;
    for (auto position = m_contributors.begin(); position != m_contributors.end();) {
        if (now - position->second.lastAccrual > contributorTimeout) {
            position = m_contributors.erase(position);
            continue;
        }
        m_share += position->second.share;
        ++position;
    }
    return m_share;
}

void quota_pool::accrue(const quota_accrual& accrual, time_point now)
{
    auto& entry = m_contributors[accrual.node];
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
    updateShare(now);
    auto& entry = found->second;
    entry.tokens += entry.quota.ratePerSecond * (m_supply - entry.supplied);
    entry.supplied = m_supply;
    entry.tokens = std::min(entry.tokens, capacityOf(entry));
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
    addUnmet(*entry, std::min(ask.fresh, missing), now);
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
        entry->tokens = std::min(entry->tokens + grant.count, std::max(entry->tokens, capacityOf(*entry)));
    }
}

void quota_pool::addUnmet(bucket& entry, double count, time_point now)
{
    auto decay = std::exp(-(seconds(now - entry.unmetUpdated) / unmetDecayTime));
    entry.unmet = entry.unmet * decay + count;
    entry.unmetUpdated = now;
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

// Whether other zones may still answer or have lent quota recently.
bool quota_pool::mayBorrow(const bucket& entry, time_point now)
{
    auto sinceAsked = now - entry.othersAsked;
    return sinceAsked < borrowTime || sinceAsked > borrowPause || now - entry.othersLent < borrowPause / 2;
}

// Includes requests that were refused before, since they are retried earlier.
milliseconds quota_pool::waitFor(const bucket& entry, std::uint32_t count, time_point now) const
{
    if (mayBorrow(entry, now)) {
        return shortestWait;
    }
    auto rate = entry.quota.ratePerSecond * m_share;
    if (rate <= 0) {
        // The nodes that use this pool have just started.
        return startingWait;
    }
    auto missing = std::max(entry.unmet, static_cast<double>(count)) - entry.tokens;
    auto wait = std::min(missing / rate * 1000, static_cast<double>(longestWait.count()));
    return std::max(shortestWait, milliseconds(std::lround(wait)));
}

bool quota_pool::isShort(const bucket& entry, time_point now)
{
    return entry.unmet >= minUnmet && now - entry.unmetUpdated < shortageTime;
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
        // Quota beyond the capacity would be lost.
        auto count = std::min(entry.unmet, capacityOf(entry) - entry.tokens) / static_cast<double>(otherZones);
        if (count <= 0) {
            continue;
        }
        entry.nextShortage = now + shortagePeriod;
        if (now - entry.othersAsked > borrowPause) {
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
