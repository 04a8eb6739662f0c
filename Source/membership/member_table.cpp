#include "membership/member_table.h"

#include <algorithm>
#include <xxhash.h>

namespace vanillashunt {

namespace {

    // Of two entries with the same version, the one with the higher precedence wins.
    int statePrecedence(member_state state)
    {
        switch (state) {
        case member_state::Alive:
            return 0;
        case member_state::Draining:
            return 1;
        case member_state::Suspect:
            return 2;
        case member_state::Dead:
            return 3;
        case member_state::Left:
            return 4;
        }
        return 0;
    }

    std::string nameKey(const member& entry)
    {
        return entry.availabilityZone + "/" + entry.name;
    }

    void eraseFromIndex(std::unordered_map<std::string, std::uint64_t>& index, const std::string& key, std::uint64_t memberId)
    {
        auto found = index.find(key);
        if (found != index.end() && found->second == memberId) {
            index.erase(found);
        }
    }

    std::chrono::steady_clock::time_point processStart(const member& entry)
    {
        return entry.uptimeReceived - entry.uptime;
    }

}

bool isLive(member_state state)
{
    return state != member_state::Left && state != member_state::Dead;
}

member_table::member_table(membership_options options, change_hook hook)
    : m_options(options)
    , m_changeHook(std::move(hook))
{
}

void member_table::setSelf(const member& self, time_point now)
{
    m_selfId = self.id;
    member_update update { true, self };
    store(update, "own entry", now);
}

void member_table::merge(const member_update& update, const std::string& reason, time_point now)
{
    if (update.entry.id == m_selfId || update.entry.id == 0 || !isNewer(update)) {
        return;
    }
    store(update, reason, now);
}

bool member_table::isNewer(const member_update& update) const
{
    auto state = update.entry.state;
    auto found = m_records.find(update.entry.id);
    if (found == m_records.end()) {
        return update.whole || !isLive(state);
    }
    const auto& known = found->second;
    if (known.entry.state == member_state::Left) {
        return false;
    }
    if (update.entry.version != known.entry.version) {
        // A live state is usable only together with the entry of its version.
        bool usable = update.whole || !isLive(state);
        return usable && update.entry.version > known.entry.version;
    }
    return statePrecedence(state) > statePrecedence(known.entry.state);
}

void member_table::store(const member_update& update, const std::string& reason, time_point now)
{
    auto& record = m_records[update.entry.id];
    if (record.whole && isLive(record.entry.state)) {
        removeLive(record.entry);
    }
    bool wasLive = record.whole && isLive(record.entry.state);
    bool wasTombstone = record.entry.id != 0 && !isLive(record.entry.state);
    if (update.whole) {
        record.entry = update.entry;
        record.entry.uptimeReceived = now;
        record.whole = true;
    } else {
        record.entry.id = update.entry.id;
        record.entry.version = update.entry.version;
        record.entry.state = update.entry.state;
    }
    record.reason = reason;
    record.changed = now;
    if (isLive(record.entry.state)) {
        addLive(record.entry);
    } else if (!wasTombstone) {
        m_tombstones.push_back(record.entry.id);
    }
    notifyChanged(record, now);
    if (isLive(record.entry.state) && !wasLive) {
        retireDuplicates(record.entry.id, now);
    }
}

void member_table::retireDuplicates(std::uint64_t memberId, time_point now)
{
    const auto entry = m_records.at(memberId).entry;
    for (auto* index : { &m_idByName, &m_idByAddress }) {
        auto& owner = (*index)[index == &m_idByName ? nameKey(entry) : entry.address];
        auto known = m_records.find(owner);
        if (owner != memberId && known != m_records.end() && isLive(known->second.entry.state)) {
            retireOlder(owner, memberId, now);
        }
        if (isLive(m_records.at(memberId).entry.state)) {
            owner = memberId;
        }
    }
}

// A name or an address belongs to the process that started last.
void member_table::retireOlder(std::uint64_t first, std::uint64_t second, time_point now)
{
    bool firstIsOlder = processStart(m_records.at(first).entry) < processStart(m_records.at(second).entry);
    auto older = firstIsOlder ? first : second;
    if (older == m_selfId) {
        return;
    }
    setState(m_records.at(older), member_state::Left, "replaced by a newer process", now);
}

void member_table::declareState(std::uint64_t memberId, member_state state, const std::string& reason, time_point now)
{
    auto found = m_records.find(memberId);
    if (memberId == m_selfId || found == m_records.end() || statePrecedence(state) <= statePrecedence(found->second.entry.state)) {
        return;
    }
    setState(found->second, state, reason, now);
}

void member_table::setState(member_record& record, member_state state, const std::string& reason, time_point now)
{
    member_update update;
    update.entry.id = record.entry.id;
    update.entry.version = record.entry.version;
    update.entry.state = state;
    store(update, reason, now);
}

void member_table::addLive(const member& entry)
{
    auto& zone = m_zones[entry.availabilityZone];
    zone.live.push_back(entry.id);
    zone.digest.toggle(entry);
    ++m_liveCount;
}

void member_table::removeLive(const member& entry)
{
    auto& zone = m_zones[entry.availabilityZone];
    zone.live.erase(std::remove(zone.live.begin(), zone.live.end(), entry.id), zone.live.end());
    zone.digest.toggle(entry);
    --m_liveCount;
}

void member_table::notifyChanged(const member_record& record, time_point now)
{
    m_lastChange = now;
    m_changeHook(record.entry.id);
}

void member_table::expireTombstones(time_point now)
{
    auto lifetime = m_options.keepsTombstones ? m_options.tombstoneLifetime : std::chrono::milliseconds(0);
    auto count = m_tombstones.size();
    for (std::size_t i = 0; i < count; ++i) {
        auto memberId = m_tombstones.front();
        m_tombstones.pop_front();
        auto found = m_records.find(memberId);
        if (found == m_records.end() || isLive(found->second.entry.state)) {
            continue;
        }
        if (now - found->second.changed >= lifetime) {
            eraseFromIndex(m_idByName, nameKey(found->second.entry), memberId);
            eraseFromIndex(m_idByAddress, found->second.entry.address, memberId);
            m_records.erase(found);
            continue;
        }
        m_tombstones.push_back(memberId);
    }
}

const member_record* member_table::find(std::uint64_t memberId) const
{
    auto found = m_records.find(memberId);
    return found == m_records.end() ? nullptr : &found->second;
}

const std::vector<std::uint64_t>& member_table::liveIn(const std::string& zone) const
{
    static const std::vector<std::uint64_t> none;
    auto found = m_zones.find(zone);
    return found == m_zones.end() ? none : found->second.live;
}

std::vector<std::uint64_t> member_table::membersInBucket(const std::string& zone, std::size_t bucket) const
{
    std::vector<std::uint64_t> members;
    for (auto memberId : liveIn(zone)) {
        if (bucketOf(memberId) == bucket) {
            members.push_back(memberId);
        }
    }
    for (auto memberId : m_tombstones) {
        const auto* record = find(memberId);
        if (record && record->entry.availabilityZone == zone && !isLive(record->entry.state) && bucketOf(memberId) == bucket) {
            members.push_back(memberId);
        }
    }
    return members;
}

bool member_table::hasLiveAddress(const std::string& address) const
{
    auto owner = m_idByAddress.find(address);
    const auto* record = owner == m_idByAddress.end() ? nullptr : find(owner->second);
    return record && isLive(record->entry.state);
}

std::uint64_t member_table::digest() const
{
    std::uint64_t sum = 0;
    for (const auto& [zone, members] : m_zones) {
        if (!members.live.empty()) {
            sum ^= XXH3_64bits_withSeed(zone.data(), zone.size(), members.digest.hash());
        }
    }
    return sum;
}

member_update member_table::makeUpdate(std::uint64_t memberId, time_point now) const
{
    const auto& record = m_records.at(memberId);
    member_update update;
    update.entry = record.entry;
    update.whole = record.whole && isLive(record.entry.state);
    update.entry.uptime += std::chrono::duration_cast<std::chrono::milliseconds>(now - record.entry.uptimeReceived);
    return update;
}

}
