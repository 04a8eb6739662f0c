#include "ConcurrencyLimitWeighed/backend_model.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    constexpr std::chrono::microseconds refusalTime { 1000 };

}

backend_model::backend_model(backend_behaviour behaviour, limit_under_test limit, std::uint32_t seed)
    : m_behaviour(behaviour)
    , m_limit(std::move(limit))
    , m_random(seed)
{
}

std::chrono::microseconds backend_model::drawService()
{
    std::exponential_distribution<double> draw(1);
    auto mean = static_cast<double>(m_behaviour.meanService.count());
    return std::chrono::microseconds(static_cast<std::int64_t>(mean * (1 - m_behaviour.randomFraction + m_behaviour.randomFraction * draw(m_random))));
}

void backend_model::send()
{
    ++m_inFlight;
    if (m_working >= m_behaviour.slots && m_internalQueue.size() >= m_behaviour.internalQueueBound) {
        m_ends.push({ m_now + refusalTime, m_now, true });
        return;
    }
    m_internalQueue.push_back(m_now);
    startNext();
}

void backend_model::startNext()
{
    while (!m_internalQueue.empty() && m_working < m_behaviour.slots) {
        ++m_working;
        m_ends.push({ m_now + drawService(), m_internalQueue.front(), false });
        m_internalQueue.pop_front();
    }
}

model_second backend_model::runSecond()
{
    auto until = m_now + std::chrono::seconds(1);
    std::vector<std::chrono::microseconds> durations;
    model_second result;
    while (m_inFlight < m_limit.get(m_now)) {
        send();
    }
    while (!m_ends.empty() && m_ends.top().end <= until) {
        auto ended = m_ends.top();
        m_ends.pop();
        m_now = ended.end;
        auto duration = std::chrono::duration_cast<std::chrono::microseconds>(m_now - ended.sent);
        m_limit.finished(duration, ended.refused, m_inFlight, m_now);
        --m_inFlight;
        if (ended.refused) {
            ++result.refused;
        } else {
            --m_working;
            durations.push_back(duration);
            startNext();
        }
        while (m_inFlight < m_limit.get(m_now)) {
            send();
        }
    }
    m_now = until;
    result.goodput = static_cast<double>(durations.size());
    result.limit = m_limit.get(m_now);
    if (durations.empty()) {
        return result;
    }
    std::sort(durations.begin(), durations.end());
    result.p50 = durations[durations.size() / 2];
    result.p99 = durations[durations.size() * 99 / 100];
    return result;
}

}
