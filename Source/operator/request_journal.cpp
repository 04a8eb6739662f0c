#include "operator/request_journal.h"

#include <xxhash.h>

namespace vanillashunt {

namespace {

    // Far more than the nodes that one node calls and the texts that it writes.
    constexpr std::size_t mostDetails = 8192;

    std::uint64_t hashOf(const std::string& requestId)
    {
        return XXH3_64bits(requestId.data(), requestId.size());
    }

}

request_journal::request_journal(std::size_t capacity)
    : m_capacity(capacity)
{
}

std::uint32_t request_journal::detailIndex(const std::string& detail)
{
    auto found = m_detailIndices.find(detail);
    if (found != m_detailIndices.end()) {
        return found->second;
    }
    if (m_details.size() >= mostDetails) {
        return 0;
    }
    auto index = static_cast<std::uint32_t>(m_details.size());
    m_details.push_back(detail);
    m_detailIndices.emplace(detail, index);
    return index;
}

void request_journal::record(const call_observation& seen)
{
    stored_entry entry { hashOf(seen.context.requestId), seen.now, seen.outcome, detailIndex(seen.detail), seen.decision };
    if (m_entries.size() < m_capacity) {
        m_entries.push_back(entry);
        return;
    }
    m_entries[m_next] = entry;
    m_next = (m_next + 1) % m_capacity;
}

std::vector<journal_entry> request_journal::find(const std::string& requestId) const
{
    std::vector<journal_entry> found;
    auto hash = hashOf(requestId);
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        const auto& entry = m_entries[(m_next + i) % m_entries.size()];
        if (entry.requestHash != hash) {
            continue;
        }
        found.push_back({ requestId, entry.decision, entry.outcome, m_details[entry.detail], entry.at });
    }
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
