#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <vector>

namespace vanillashunt {

using model_time = std::chrono::steady_clock::time_point;

// The simulated clock of a model: runs scheduled actions in order of time.
class event_queue {
public:
    model_time now() const { return m_now; }

    void at(model_time when, std::function<void()> action) { m_events.push({ when, ++m_count, std::move(action) }); }

    void after(model_time::duration wait, std::function<void()> action) { at(m_now + wait, std::move(action)); }

    void runUntil(model_time until)
    {
        while (!m_events.empty() && m_events.top().when <= until) {
            auto next = m_events.top();
            m_events.pop();
            m_now = next.when;
            next.action();
        }
        m_now = until;
    }

private:
    struct event {
        model_time when;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const event& other) const { return std::tie(when, order) > std::tie(other.when, other.order); }
    };

    model_time m_now { std::chrono::hours(1) };
    std::uint64_t m_count = 0;
    std::priority_queue<event> m_events;
};

}
