#include "decision/retry_allowance.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    // Part of the ratio that is spent. The calls that a repeated request makes
    // again count as repeats, too, where they arrive: on a chain of four services
    // each repeat at the top is one at every service below.
    constexpr double spentPartOfRatio = 0.25;

    // Part of the slack that is spent: nodes that do not know of each other take
    // theirs for larger than it is.
    constexpr double spentPartOfSlack = 0.5;

    // A node that has just started does not know yet how many share the slack. The
    // members are known within two seconds.
    constexpr std::chrono::seconds unsettledTime { 5 };

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

double retry_allowance::ownSlack(time_point now) const
{
    if (now - m_started < unsettledTime) {
        return 0;
    }
    return spentPartOfSlack * m_settings.slack / static_cast<double>(m_nodes);
}

bool retry_allowance::take(const std::string& service, time_point now)
{
    auto& window = windowOf(service);
    auto most = spentPartOfRatio * m_settings.ratio * window.requests.sum(now) + ownSlack(now);
    if (window.repeats.sum(now) + 1 > most) {
        return false;
    }
    window.repeats.add(now);
    return true;
}

}
