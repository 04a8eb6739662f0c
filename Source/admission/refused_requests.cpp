#include "admission/refused_requests.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    // Callers that were told to come back do so within this time.
    constexpr std::chrono::seconds memory { 5 };
    constexpr std::size_t mostRemembered = 4096;

}

void refused_requests::forgetLate(time_point now)
{
    while (!m_order.empty() && (m_order.front().until <= now || m_order.size() > mostRemembered)) {
        auto late = m_order.front();
        m_order.pop_front();
        auto [begin, end] = m_until.equal_range(late.content);
        auto same = std::find_if(begin, end, [&late](const auto& entry) { return entry.second == late.until; });
        // One that has come back is forgotten already.
        if (same != end) {
            m_until.erase(same);
        }
    }
}

void refused_requests::refused(request_fingerprint content, time_point now)
{
    m_order.push_back({ content, now + memory });
    m_until.emplace(content, now + memory);
    forgetLate(now);
}

bool refused_requests::takeReturn(request_fingerprint content, time_point now)
{
    forgetLate(now);
    auto found = m_until.find(content);
    if (found == m_until.end()) {
        return false;
    }
    m_until.erase(found);
    return true;
}

}
