#include "StandIn/load_report.h"

namespace vanillashunt {

namespace {

    // Longest lag that can be asked for.
    constexpr std::chrono::seconds longestLag(60);

}

void load_report::record(std::uint64_t inFlight, time_point now)
{
    m_samples.push_back({ now, inFlight });
    while (m_samples.size() > 1 && m_samples[1].time < now - longestLag) {
        m_samples.pop_front();
    }
}

std::uint64_t load_report::reported(time_point now) const
{
    if (m_lie == "zero") {
        return 0;
    }
    if (m_lie == "full") {
        return m_slots;
    }
    std::uint64_t inFlight = 0;
    for (auto each = m_samples.rbegin(); each != m_samples.rend(); ++each) {
        if (each->time <= now - m_lag) {
            inFlight = each->inFlight;
            break;
        }
    }
    return inFlight;
}

}
