#include "decision/retry_allowance.h"

#include <algorithm>
#include <numeric>

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

retry_allowance::service_window& retry_allowance::windowOf(const std::string& service, time_point now)
{
    auto bucketLength = m_settings.window / static_cast<int>(bucketCount);
    auto number = static_cast<std::int64_t>(now.time_since_epoch() / bucketLength);
    auto& window = m_windows[service];
    auto passed = std::min<std::int64_t>(number - window.newest, bucketCount);
    for (std::int64_t i = 1; i <= passed; ++i) {
        auto cleared = static_cast<std::size_t>((number - passed + i) % static_cast<std::int64_t>(bucketCount));
        window.requests.at(cleared) = 0;
        window.repeats.at(cleared) = 0;
    }
    window.newest = number;
    return window;
}

void retry_allowance::requested(const std::string& service, time_point now)
{
    auto& window = windowOf(service, now);
    ++window.requests.at(static_cast<std::size_t>(window.newest) % bucketCount);
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
    auto& window = windowOf(service, now);
    auto requests = std::accumulate(window.requests.begin(), window.requests.end(), 0U);
    auto repeats = std::accumulate(window.repeats.begin(), window.repeats.end(), 0U);
    auto most = spentPartOfRatio * m_settings.ratio * requests + ownSlack(now);
    if (repeats + 1 > most) {
        return false;
    }
    ++window.repeats.at(static_cast<std::size_t>(window.newest) % bucketCount);
    return true;
}

}
