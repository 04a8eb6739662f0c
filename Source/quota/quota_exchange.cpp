#include "quota/quota_exchange.h"

#include <algorithm>
#include <utility>

namespace vanillashunt {

namespace {

    using std::chrono::milliseconds;
    using seconds = std::chrono::duration<double>;

    // How often a node gives its share to the pool, which lacks at limit this much of it.
    constexpr milliseconds accrualPeriod { 200 };
    // A node that had no pool or was suspended loses any share that is older.
    constexpr seconds longestUnused { 0.4 };
    // The same until a node knows its zone: no other node has used that time.
    constexpr seconds longestUnusedAtStart { 0.8 };
    constexpr milliseconds shortagePeriod { 20 };
    // The round trip takes a few milliseconds between zones, and a hundred between regions.
    constexpr milliseconds answerTimeout { 350 };

}

quota_exchange::quota_exchange(quota_settings settings, quota_hooks hooks, time_point started)
    : m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
    , m_nodeCounter(m_settings.availabilityZone, started)
    , m_poolOwners(m_settings.selfId)
    , m_pool(m_settings.tolerance)
    , m_account(accountHooks())
    , m_lastAccrual(started)
{
}

std::uint64_t quota_exchange::take(const quota_request& request, quota_handler handler, time_point now)
{
    auto waiting = request;
    if (!m_nodeCounter.count(now)) {
        waiting.waitUntil = std::max(request.waitUntil, request.waitUntilStarted);
    }
    return m_account.take(waiting, std::move(handler), now);
}

std::optional<member> quota_exchange::owner(time_point now) const
{
    auto found = m_poolOwners.ownerOf(m_settings.availabilityZone, now);
    return found && found->id != m_settings.selfId ? found : std::nullopt;
}

quota_account_hooks quota_exchange::accountHooks()
{
    quota_account_hooks hooks;
    hooks.nextSequence = [this] { return nextSequence(); };
    hooks.ask = [this](std::uint32_t sequence, const quota_ask& asked, time_point now) { ask(sequence, asked, now); };
    hooks.unanswered = [this](std::uint32_t sequence, time_point now) {
        if (auto node = m_pending.extract(sequence)) {
            ++m_counts.unanswered;
            m_poolOwners.unanswered(node.mapped().memberId, now);
        }
    };
    hooks.chance = m_hooks.chance;
    return hooks;
}

std::uint32_t quota_exchange::nextSequence()
{
    m_sequence = std::max(m_sequence + 1, 1U);
    return m_sequence;
}

void quota_exchange::setConfiguration(const route_configuration& configuration, time_point now)
{
    m_quotas.clear();
    for (const auto& configured : configuration.organisations) {
        if (configured.quota.isLimited()) {
            m_quotas[configured.name] = configured.quota;
        }
    }
    m_hasLimits = !m_quotas.empty();
    m_pool.setQuotas(m_quotas);
    m_account.configurationChanged(now);
}

std::optional<quota_status> quota_exchange::statusOf(const std::string& organisation, time_point now)
{
    auto found = m_quotas.find(organisation);
    if (found == m_quotas.end()) {
        return std::nullopt;
    }
    quota_status standing { found->second, m_account.admitted(organisation, now), m_account.waiting(organisation), std::nullopt };
    if (!owner(now)) {
        standing.pool = m_pool.available(organisation, now);
    }
    return standing;
}

void quota_exchange::setMembers(const member_list& members, time_point now)
{
    m_nodeCounter.setMembers(members, now);
    m_poolOwners.setMembers(members);
}

void quota_exchange::ask(std::uint32_t sequence, const quota_ask& asked, time_point now)
{
    ++m_counts.asks;
    auto poolOwner = owner(now);
    if (!poolOwner) {
        accrueShare(now);
        m_account.granted(sequence, m_pool.take(asked, now), now);
        askOtherZones(now);
        return;
    }
    quota_message message;
    message.kind = quota_kind::Ask;
    message.sequence = sequence;
    message.asks = { asked };
    send(*poolOwner, std::move(message), purpose::Account, now);
}

void quota_exchange::send(const member& target, quota_message message, purpose use, time_point now)
{
    message.senderId = m_settings.selfId;
    m_pending[message.sequence] = { target.id, use, now };
    m_hooks.send(target, message);
}

std::optional<quota_message> quota_exchange::receive(const quota_message& message, time_point now)
{
    if (message.kind == quota_kind::Grant) {
        answered(message, now);
        return std::nullopt;
    }
    return answer(message, now);
}

quota_message quota_exchange::answer(const quota_message& message, time_point now)
{
    quota_message reply;
    reply.kind = quota_kind::Grant;
    reply.senderId = m_settings.selfId;
    reply.sequence = message.sequence;
    if (message.kind == quota_kind::Accrual) {
        m_pool.accrue(message.accrual, now);
        for (const auto& unused : message.grants) {
            m_pool.put(unused, now);
        }
        return reply;
    }
    for (const auto& asked : message.asks) {
        reply.grants.push_back(message.isFromPool ? m_pool.lend(asked, now) : m_pool.take(asked, now));
        m_counts.lent += message.isFromPool ? reply.grants.back().count : 0;
    }
    askOtherZones(now);
    return reply;
}

void quota_exchange::answered(const quota_message& message, time_point now)
{
    auto node = m_pending.extract(message.sequence);
    if (!node) {
        return;
    }
    m_poolOwners.answered(node.mapped().memberId);
    for (const auto& grant : message.grants) {
        if (node.mapped().use == purpose::Account) {
            m_account.granted(message.sequence, grant, now);
        } else if (node.mapped().use == purpose::Pool) {
            m_counts.borrowed += grant.count;
            m_pool.borrowed(grant, now);
        }
    }
}

// Accrues this node's share for the time that has passed.
void quota_exchange::accrueShare(time_point now)
{
    auto count = m_nodeCounter.count(now);
    m_share = count ? 1.0 / static_cast<double>(m_settings.zones * *count) : 0;
    auto limit = count ? std::max(m_unused, longestUnused) : longestUnusedAtStart;
    m_unused = std::min<seconds>(m_unused + (now - m_lastAccrual), limit);
    m_lastAccrual = now;
    if (count && !owner(now)) {
        m_pool.accrue({ m_settings.selfId, m_share, std::exchange(m_unused, seconds(0)) }, now);
    }
}

void quota_exchange::giveToPool(time_point now)
{
    if (now < m_nextAccrual) {
        return;
    }
    m_nextAccrual = now + accrualPeriod;
    if (m_share <= 0) {
        return;
    }
    auto unused = m_account.takeUnused();
    auto poolOwner = owner(now);
    if (!poolOwner) {
        for (const auto& grant : unused) {
            m_pool.put(grant, now);
        }
        return;
    }
    quota_message message;
    message.kind = quota_kind::Accrual;
    message.sequence = nextSequence();
    message.accrual = { m_settings.selfId, m_share, std::exchange(m_unused, seconds(0)) };
    unused.resize(std::min(unused.size(), maxQuotaEntries));
    message.grants = std::move(unused);
    send(*poolOwner, std::move(message), purpose::Accrual, now);
}

void quota_exchange::askOtherZones(time_point now)
{
    if (now < m_nextShortage) {
        return;
    }
    m_nextShortage = now + shortagePeriod;
    auto zones = m_poolOwners.otherZones(m_settings.availabilityZone);
    auto shortages = m_pool.shortages(zones.size(), now);
    if (shortages.empty()) {
        return;
    }
    shortages.resize(std::min(shortages.size(), maxQuotaEntries));
    for (const auto& zone : zones) {
        auto poolOwner = m_poolOwners.ownerOf(zone, now);
        if (!poolOwner) {
            continue;
        }
        quota_message message;
        message.kind = quota_kind::Ask;
        message.sequence = nextSequence();
        message.isFromPool = true;
        message.asks = shortages;
        send(*poolOwner, std::move(message), purpose::Pool, now);
    }
}

void quota_exchange::expirePending(time_point now)
{
    for (auto position = m_pending.begin(); position != m_pending.end();) {
        if (now - position->second.sent < answerTimeout) {
            ++position;
            continue;
        }
        ++m_counts.unanswered;
        m_poolOwners.unanswered(position->second.memberId, now);
        position = m_pending.erase(position);
    }
}

void quota_exchange::tick(time_point now)
{
    if (!m_hasLimits) {
        return;
    }
    accrueShare(now);
    giveToPool(now);
    askOtherZones(now);
    expirePending(now);
    m_account.tick(now);
}

}
