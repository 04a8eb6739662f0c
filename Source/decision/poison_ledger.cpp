#include "decision/poison_ledger.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    // Bounds the shared document, at some 70 bytes a record, to a seventh of the megabyte
    // that one key may hold. A server's end brings as many as it has slots, 250 at most.
    constexpr std::size_t mostRecords = 2048;

    bool addEnd(poison_record& record, std::uint64_t startHash)
    {
        auto& ends = record.ends;
        if (ends.size() >= poisonThreshold || std::find(ends.begin(), ends.end(), startHash) != ends.end()) {
            return false;
        }
        ends.push_back(startHash);
        return true;
    }

    // Whether both say the same, wherever they were read. Which ends make up the full number
    // makes no difference.
    bool isAsMuch(const poison_record& left, const poison_record& right)
    {
        if (left.served != right.served || left.ends.size() != right.ends.size()) {
            return false;
        }
        return left.ends.size() >= poisonThreshold || std::is_permutation(left.ends.begin(), left.ends.end(), right.ends.begin());
    }

    // Which version of the document has the record that two others were joined to: none, if
    // both have brought something.
    std::int64_t versionOf(const poison_record& joined, const poison_record& own, const poison_record& other)
    {
        if (isAsMuch(joined, other)) {
            return std::max(own.version, other.version);
        }
        return isAsMuch(joined, own) ? own.version : 0;
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
    forget(now);
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
    if (record.served || isOver(record, now)) {
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
    bool learnt = false;
    for (const auto& other : others) {
        if (isOver(other, now)) {
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
        record.version = versionOf(record, before, other);
        learnt = learnt || !isAsMuch(record, before);
    }
    forget(now);
    return learnt;
}

void poison_ledger::markSyncedTo(std::int64_t version)
{
    m_version = std::max(m_version, version);
}

void poison_ledger::reconcileWithStored(const std::vector<poison_record>& document)
{
    std::unordered_map<request_fingerprint, const poison_record*> stored;
    for (const auto& each : document) {
        stored[each.content] = &each;
    }
    for (auto& [content, record] : m_records) {
        auto found = stored.find(content);
        bool isThere = found != stored.end() && isAsMuch(record, *found->second);
        record.version = isThere ? record.version : 0;
    }
}

bool poison_ledger::hasUnshared(wall_time now) const
{
    return std::any_of(m_records.begin(), m_records.end(), [now](const auto& entry) { return entry.second.version == 0 && !isOver(entry.second, now); });
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

std::vector<poison_record> poison_ledger::recordsWhere(const std::function<bool(const poison_record&)>& wanted, wall_time now) const
{
    std::vector<poison_record> records;
    for (const auto& [content, record] : m_records) {
        if (wanted(record) && !isOver(record, now)) {
            records.push_back(record);
        }
    }
    return records;
}

// The time of day may jump: what seems to lie ahead is as good as new.
bool poison_ledger::isOver(const poison_record& record, wall_time now)
{
    return record.lastEnd + poisonRetention < now;
}

// Those with the fewest ends go first, and of these the oldest.
void poison_ledger::forget(wall_time now)
{
    for (auto each = m_records.begin(); each != m_records.end();) {
        each = isOver(each->second, now) ? m_records.erase(each) : std::next(each);
    }
    while (m_records.size() > mostRecords) {
        auto least = std::min_element(m_records.begin(), m_records.end(), [](const auto& left, const auto& right) {
            auto weight = [](const poison_record& record) { return record.served ? 0 : record.ends.size(); };
            auto leftWeight = weight(left.second);
            auto rightWeight = weight(right.second);
            return leftWeight != rightWeight ? leftWeight < rightWeight : left.second.lastEnd < right.second.lastEnd;
        });
        m_records.erase(least);
    }
}

}
