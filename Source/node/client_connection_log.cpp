#include "node/client_connection_log.h"

#include "events/event_catalogue.h"

namespace vanillashunt {

namespace {

    constexpr std::uint32_t maxLinesPerInterval = 4;
    constexpr std::chrono::seconds lineInterval { 10 };

}

client_connection_log::client_connection_log()
    : m_limiter(maxLinesPerInterval, lineInterval)
{
}

void client_connection_log::full(std::size_t unanswered, std::chrono::steady_clock::time_point now)
{
    if (auto leftOut = m_limiter.take(events::clientConnectionFull, now)) {
        logEvent(events::clientConnectionFull, { { "unanswered", std::to_string(unanswered) }, { "left_out", std::to_string(*leftOut) } });
    }
}

void client_connection_log::lost(const connection_loss& loss, std::chrono::steady_clock::time_point now)
{
    if (auto leftOut = m_limiter.take(events::clientConnectionLost, now)) {
        logEvent(events::clientConnectionLost, { { "cause", toString(loss.cause) }, { "unanswered", std::to_string(loss.unanswered) }, { "unparsed_bytes", std::to_string(loss.unparsedBytes) }, { "left_out", std::to_string(*leftOut) } });
    }
}

}
