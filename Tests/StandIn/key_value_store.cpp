#include "StandIn/key_value_store.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    const std::string endOfAllKeys(1, '\0');

    template <class T>
    bool compare(const T& actual, compare_result wanted, const T& given)
    {
        switch (wanted) {
        case compare_result::Equal:
            return actual == given;
        case compare_result::Greater:
            return actual > given;
        case compare_result::Less:
            return actual < given;
        case compare_result::NotEqual:
            return actual != given;
        }
        return false;
    }

}

bool key_range::contains(const std::string& candidate) const
{
    if (end.empty()) {
        return candidate == key;
    }
    return candidate >= key && (end == endOfAllKeys || candidate < end);
}

std::vector<key_value> key_value_store::select(const key_range& range) const
{
    std::vector<key_value> selected;
    for (const auto& [key, entry] : m_keys) {
        if (!range.contains(key)) {
            continue;
        }
        selected.push_back(entry);
    }
    return selected;
}

range_result key_value_store::range(const range_request& request) const
{
    range_result result;
    result.found = select(request.range);
    auto isOlder = [&request](const key_value& entry) { return entry.modRevision < request.minModRevision; };
    result.found.erase(std::remove_if(result.found.begin(), result.found.end(), isOlder), result.found.end());
    result.count = static_cast<std::int64_t>(result.found.size());
    if (request.limit > 0 && request.limit < result.count) {
        result.found.resize(static_cast<std::size_t>(request.limit));
    }
    return result;
}

std::vector<store_result> key_value_store::apply(const std::vector<store_operation>& operations)
{
    auto eventsBefore = m_events.size();
    auto nextRevision = m_revision + 1;
    std::vector<store_result> results;
    for (const auto& operation : operations) {
        if (const auto* read = std::get_if<range_request>(&operation)) {
            results.emplace_back(range(*read));
        } else if (const auto* write = std::get_if<put_request>(&operation)) {
            results.emplace_back(put(*write, nextRevision));
        } else {
            results.emplace_back(remove(std::get<delete_request>(operation), nextRevision));
        }
    }
    if (m_events.size() > eventsBefore) {
        m_revision = nextRevision;
    }
    return results;
}

transaction_result key_value_store::transact(const transaction& request)
{
    transaction_result result;
    result.succeeded = std::all_of(request.conditions.begin(), request.conditions.end(),
        [this](const store_compare& condition) { return holds(condition); });
    result.results = apply(result.succeeded ? request.success : request.failure);
    return result;
}

bool key_value_store::holds(const store_compare& condition) const
{
    auto found = m_keys.find(condition.key);
    if (found == m_keys.end() && condition.target == compare_target::Value) {
        return false;
    }
    auto entry = found == m_keys.end() ? key_value {} : found->second;
    switch (condition.target) {
    case compare_target::Version:
        return compare(entry.version, condition.result, condition.number);
    case compare_target::Create:
        return compare(entry.createRevision, condition.result, condition.number);
    case compare_target::Mod:
        return compare(entry.modRevision, condition.result, condition.number);
    case compare_target::Value:
        return compare(entry.value, condition.result, condition.value);
    case compare_target::Lease:
        return compare(entry.lease, condition.result, condition.number);
    }
    return false;
}

put_result key_value_store::put(const put_request& request, std::int64_t revision)
{
    std::optional<key_value> previous;
    auto& entry = m_keys[request.key];
    if (entry.version > 0) {
        previous = entry;
    } else {
        entry.key = request.key;
        entry.createRevision = revision;
    }
    entry.value = request.value;
    entry.modRevision = revision;
    entry.lease = request.lease;
    ++entry.version;
    m_events.push_back({ false, entry, previous });
    return { request.withPrevious ? previous : std::nullopt };
}

delete_result key_value_store::remove(const delete_request& request, std::int64_t revision)
{
    auto doomed = select(request.range);
    for (const auto& entry : doomed) {
        key_value deleted;
        deleted.key = entry.key;
        deleted.modRevision = revision;
        m_events.push_back({ true, deleted, entry });
        m_keys.erase(entry.key);
    }
    delete_result result;
    result.deleted = static_cast<std::int64_t>(doomed.size());
    if (request.withPrevious) {
        result.previous = std::move(doomed);
    }
    return result;
}

void key_value_store::deleteLease(std::int64_t lease)
{
    std::vector<store_operation> deletions;
    for (const auto& [key, entry] : m_keys) {
        if (entry.lease != lease) {
            continue;
        }
        deletions.emplace_back(delete_request { { key, "" }, false });
    }
    apply(deletions);
}

std::vector<store_event> key_value_store::eventsFrom(std::int64_t revision, const key_range& range) const
{
    std::vector<store_event> selected;
    for (const auto& event : m_events) {
        if (event.current.modRevision < revision || !range.contains(event.current.key)) {
            continue;
        }
        selected.push_back(event);
    }
    return selected;
}

void key_value_store::compact(std::int64_t revision)
{
    m_compactRevision = revision;
    auto isOld = [revision](const store_event& event) { return event.current.modRevision < revision; };
    m_events.erase(std::remove_if(m_events.begin(), m_events.end(), isOld), m_events.end());
}

}
