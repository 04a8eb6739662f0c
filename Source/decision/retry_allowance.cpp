#include "decision/retry_allowance.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    // Fraction of the ratio that is used. The onward calls of a retried request count as retries
    // at the services that they reach, too: on a chain of four services, each retry at the first
    // one causes a retry at every service below.
    constexpr double usedRatioFraction = 0.25;

    // Fraction of the slack that is used: nodes that do not know of each other overestimate
    // their share.
    constexpr double usedSlackFraction = 0.5;

    // A node that has just started does not know yet how many nodes share the slack. It learns
    // of all members within two seconds.
    constexpr std::chrono::seconds settlingTime { 5 };

}

retry_allowance::retry_allowance(const retry_allowance_settings& settings, time_point started)
    : m_settings(settings)
    , m_started(started)
{
}

void retry_allowance::setNodes(std::size_t nodes)
{
    m_nodes = std::max<std::size_t>(1, nodes);
}

retry_allowance::service_window& retry_allowance::windowOf(const std::string& service)
{
    return m_windows.try_emplace(service, service_window { sliding_window_counter(m_settings.window), sliding_window_counter(m_settings.window) }).first->second;
}

void retry_allowance::requested(const std::string& service, time_point now)
{
    windowOf(service).requests.add(now);
}

double retry_allowance::slackShare(time_point now) const
{
    if (now - m_started < settlingTime) {
        return 0;
    }
    return usedSlackFraction * m_settings.slack / static_cast<double>(m_nodes);
}

bool retry_allowance::take(const std::string& service, time_point now)
{
    auto& window = windowOf(service);
    auto limit = usedRatioFraction * m_settings.ratio * window.requests.sum(now) + slackShare(now);
    if (window.retries.sum(now) + 1 > limit) {
        return false;
    }
    window.retries.add(now);
    return true;
}

}
