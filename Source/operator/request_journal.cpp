#include "operator/request_journal.h"

#include <algorithm>

namespace vanillashunt {

request_journal::request_journal(std::size_t capacity)
    : m_capacity(capacity)
{
}

void request_journal::record(const call_observation& seen)
{
    journal_entry entry { seen.context.requestId, seen.decision, seen.outcome, seen.detail, seen.now };
    if (m_entries.size() < m_capacity) {
        m_entries.push_back(std::move(entry));
        return;
    }
    m_entries[m_next] = std::move(entry);
    m_next = (m_next + 1) % m_capacity;
}

std::vector<journal_entry> request_journal::find(const std::string& requestId) const
{
    std::vector<journal_entry> found;
    auto isAsked = [&](const journal_entry& entry) { return entry.requestId == requestId; };
    auto oldest = m_entries.begin() + static_cast<std::ptrdiff_t>(m_next);
    std::copy_if(oldest, m_entries.end(), std::back_inserter(found), isAsked);
    std::copy_if(m_entries.begin(), oldest, std::back_inserter(found), isAsked);
    return found;
}

Json::Value toJson(const std::vector<journal_entry>& entries, std::chrono::steady_clock::time_point now)
{
    Json::Value json(Json::arrayValue);
    for (const auto& entry : entries) {
        Json::Value decision;
        decision["age_ms"] = Json::Int64(std::chrono::duration_cast<std::chrono::milliseconds>(now - entry.at).count());
        decision["decision"] = toString(entry.decision);
        decision["detail"] = entry.detail;
        bool sent = entry.decision == call_decision::Attempt || entry.decision == call_decision::Retry;
        if (!sent) {
            decision["verdict"] = toString(entry.outcome.run);
            decision["reason"] = toString(entry.outcome.reason);
        }
        json.append(decision);
    }
    return json;
}

}
