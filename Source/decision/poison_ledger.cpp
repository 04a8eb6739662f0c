#include "decision/poison_ledger.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    // At some 70 bytes per record, limits the shared document to a seventh of the megabyte that
    // one key of the store may hold. Each end of a server adds as many records as the server
    // has slots, 250 at most.
    constexpr std::size_t maxRecords = 2048;

    bool addEnd(poison_record& record, std::uint64_t startHash)
    {
        auto& ends = record.ends;
        if (ends.size() >= poisonThreshold || std::find(ends.begin(), ends.end(), startHash) != ends.end()) {
            return false;
        }
        ends.push_back(startHash);
        return true;
    }

    // Whether both contain the same information, whatever their versions. Once the threshold is
    // reached, it makes no difference which ends are listed.
    bool isEquivalent(const poison_record& left, const poison_record& right)
    {
        if (left.served != right.served || left.ends.size() != right.ends.size()) {
            return false;
        }
        return left.ends.size() >= poisonThreshold || std::is_permutation(left.ends.begin(), left.ends.end(), right.ends.begin());
    }

    // The version of the document that contains the record merged from two others; 0 if both
    // contributed to it, since then no document contains it yet.
    std::int64_t mergedVersion(const poison_record& merged, const poison_record& own, const poison_record& other)
    {
        if (isEquivalent(merged, other)) {
            return std::max(own.version, other.version);
        }
        return isEquivalent(merged, own) ? own.version : 0;
    }

}

void poison_ledger::serverEnded(std::uint64_t startHash, const std::vector<request_fingerprint>& contents, wall_time now)
{
    for (auto content : contents) {
        auto& record = m_records[content];
        record.content = content;
        record.lastEnd = std::max(record.lastEnd, now);
        if (addEnd(record, startHash)) {
            record.version = 0;
        }
    }
    prune(now);
}

bool poison_ledger::served(request_fingerprint content)
{
    auto found = m_records.find(content);
    if (found == m_records.end() || found->second.served) {
        return false;
    }
    found->second.served = true;
    found->second.version = 0;
    return true;
}

poison_status poison_ledger::statusOf(request_fingerprint content, wall_time now) const
{
    auto found = m_records.find(content);
    return found == m_records.end() ? poison_status::Harmless : statusOf(found->second, now);
}

poison_status poison_ledger::statusOf(const poison_record& record, wall_time now)
{
    if (record.served || isExpired(record, now)) {
        return poison_status::Harmless;
    }
    if (record.ends.size() >= poisonThreshold) {
        return poison_status::Poison;
    }
    return record.ends.size() + 1 == poisonThreshold ? poison_status::NearlyPoison : poison_status::Suspect;
}

std::size_t poison_ledger::poisonCount(wall_time now) const
{
    return std::count_if(m_records.begin(), m_records.end(), [now](const auto& entry) { return statusOf(entry.second, now) == poison_status::Poison; });
}

bool poison_ledger::merge(const std::vector<poison_record>& others, wall_time now)
{
    bool changed = false;
    for (const auto& other : others) {
        if (isExpired(other, now)) {
            continue;
        }
        auto& record = m_records[other.content];
        auto before = record;
        record.content = other.content;
        record.served = record.served || other.served;
        record.lastEnd = std::max(record.lastEnd, other.lastEnd);
        for (auto start : other.ends) {
            addEnd(record, start);
        }
        record.version = mergedVersion(record, before, other);
        changed = changed || !isEquivalent(record, before);
    }
    prune(now);
    return changed;
}

void poison_ledger::markSyncedTo(std::int64_t version)
{
    m_version = std::max(m_version, version);
}

void poison_ledger::reconcileWithStored(const std::vector<poison_record>& document)
{
    std::unordered_map<request_fingerprint, const poison_record*> stored;
    for (const auto& storedRecord : document) {
        stored[storedRecord.content] = &storedRecord;
    }
    for (auto& [content, record] : m_records) {
        auto found = stored.find(content);
        bool isStored = found != stored.end() && isEquivalent(record, *found->second);
        record.version = isStored ? record.version : 0;
    }
}

bool poison_ledger::hasUnshared(wall_time now) const
{
    return std::any_of(m_records.begin(), m_records.end(), [now](const auto& entry) { return entry.second.version == 0 && !isExpired(entry.second, now); });
}

std::vector<poison_record> poison_ledger::unshared(wall_time now) const
{
    return recordsWhere([](const poison_record& record) { return record.version == 0; }, now);
}

std::vector<poison_record> poison_ledger::document(std::int64_t version, wall_time now) const
{
    auto records = recordsWhere([](const poison_record&) { return true; }, now);
    for (auto& record : records) {
        record.version = record.version == 0 ? version : record.version;
    }
    return records;
}

std::vector<poison_record> poison_ledger::since(std::int64_t version, wall_time now) const
{
    return recordsWhere([version](const poison_record& record) { return record.version > version; }, now);
}

std::vector<poison_record> poison_ledger::recordsWhere(const std::function<bool(const poison_record&)>& predicate, wall_time now) const
{
    std::vector<poison_record> records;
    for (const auto& [content, record] : m_records) {
        if (predicate(record) && !isExpired(record, now)) {
            records.push_back(record);
        }
    }
    return records;
}

// The system clock may jump: a time in the future counts as recent.
bool poison_ledger::isExpired(const poison_record& record, wall_time now)
{
    return record.lastEnd + poisonRetention < now;
}

// Removes expired records, then those in excess: the ones with the fewest ends first, and among
// these the oldest.
void poison_ledger::prune(wall_time now)
{
    for (auto position = m_records.begin(); position != m_records.end();) {
        position = isExpired(position->second, now) ? m_records.erase(position) : std::next(position);
    }
    while (m_records.size() > maxRecords) {
        auto weakest = std::min_element(m_records.begin(), m_records.end(), [](const auto& left, const auto& right) {
            auto weight = [](const poison_record& record) { return record.served ? 0 : record.ends.size(); };
            auto leftWeight = weight(left.second);
            auto rightWeight = weight(right.second);
            return leftWeight != rightWeight ? leftWeight < rightWeight : left.second.lastEnd < right.second.lastEnd;
        });
        m_records.erase(weakest);
    }
}

}
