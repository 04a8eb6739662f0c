#include "backend/server_notices.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    // Limits the memory for starts that have ended or that only a relayed notice names.
    constexpr std::size_t maxRecords = 64;

}

bool server_notices::answered(const server_start& start, const received_notice& answer)
{
    auto& entry = recordOf(hashOf(start));
    auto notice = answer.notice;
    if (!changesLimit(entry, answer)) {
        notice.rateLimit = entry.notice.rateLimit;
        return update(entry, notice);
    }
    entry.received = answer.received;
    entry.isOwn = true;
    return update(entry, notice);
}

bool server_notices::changesLimit(const record& entry, const received_notice& answer)
{
    const auto& limit = answer.notice.rateLimit;
    if (!limit && !answer.mayEndLimit) {
        return false;
    }
    if (!entry.isOwn) {
        return true;
    }
    const auto& known = entry.notice.rateLimit;
    bool isRelaxed = known && (!limit || *limit > *known);
    return isRelaxed ? answer.requestSent >= entry.received : answer.received >= entry.received;
}

bool server_notices::relayed(const relayed_notice& told, time_point now)
{
    auto& entry = recordOf(told.start);
    auto received = now - told.age;
    auto notice = told.notice;
    if (entry.isOwn || (entry.version != 0 && received <= entry.received)) {
        notice.rateLimit = entry.notice.rateLimit;
    } else {
        entry.received = received;
    }
    bool changed = update(entry, notice);
    relayFrom(entry);
    return changed;
}

void server_notices::relayFrom(const server_start& start)
{
    relayFrom(recordOf(hashOf(start)));
}

void server_notices::relayFrom(record& entry)
{
    if (entry.version == 0) {
        entry.version = ++m_version;
    }
}

bool server_notices::update(record& entry, const server_notice& notice)
{
    bool leaves = entry.notice.isLeaving || notice.isLeaving;
    bool changed = leaves != entry.notice.isLeaving || notice.rateLimit != entry.notice.rateLimit;
    if (changed) {
        entry.version = ++m_version;
    }
    entry.notice = { notice.rateLimit, leaves };
    return changed;
}

server_notices::record& server_notices::recordOf(std::uint64_t start)
{
    if (m_records.size() >= maxRecords && m_records.count(start) == 0) {
        auto earlier = [](const auto& a, const auto& b) { return a.second.received < b.second.received; };
        m_records.erase(std::min_element(m_records.begin(), m_records.end(), earlier));
    }
    return m_records[start];
}

server_notice server_notices::current(const server_start& start) const
{
    auto found = m_records.find(hashOf(start));
    return found == m_records.end() ? server_notice {} : found->second.notice;
}

std::optional<relayed_notice> server_notices::toRelay(const server_start& start, time_point now) const
{
    auto hash = hashOf(start);
    auto found = m_records.find(hash);
    if (found == m_records.end() || found->second.version == 0) {
        return std::nullopt;
    }
    const auto& entry = found->second;
    auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - entry.received);
    return relayed_notice { hash, entry.notice, 0, entry.version, std::max(age, std::chrono::milliseconds(0)) };
}

}
