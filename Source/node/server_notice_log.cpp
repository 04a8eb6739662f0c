#include "node/server_notice_log.h"

#include "events/event_catalogue.h"

#include <array>
#include <charconv>

namespace vanillashunt {

namespace {

    constexpr std::uint32_t maxLinesPerInterval = 2;
    constexpr std::chrono::seconds lineInterval { 10 };

}

std::string rateLimitText(const server_notice& notice)
{
    if (!notice.rateLimit) {
        return "";
    }
    std::array<char, 32> text {};
    auto end = std::to_chars(text.data(), text.data() + text.size(), *notice.rateLimit).ptr;
    return { text.data(), end };
}

server_notice_log::server_notice_log()
    : m_limiter(maxLinesPerInterval, lineInterval)
{
}

void server_notice_log::changed(const server_start& start, const server_notice& notice, std::chrono::steady_clock::time_point now)
{
    auto born = bornText(start);
    auto limit = rateLimitText(notice);
    if (limit != m_loggedLimit) {
        if (auto leftOut = m_limiter.take(events::serverRateLimitChanged, now)) {
            m_loggedLimit = limit;
            logEvent(events::serverRateLimitChanged, { { "instance", start.instanceId }, { "born", born }, { "requests_per_s", limit }, { "left_out", std::to_string(*leftOut) } });
        }
    }
    if (notice.isLeaving && hashOf(start) != m_leavingStart) {
        m_leavingStart = hashOf(start);
        logEvent(events::serverAnnouncesLeaving, { { "instance", start.instanceId }, { "born", born } });
    }
}

}
