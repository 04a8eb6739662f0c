#include "decision/document_freshness.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    using std::chrono::milliseconds;

    constexpr std::uint32_t maxDoublings = 8;

}

document_freshness::document_freshness(const freshness_settings& settings, std::function<std::uint64_t(std::uint64_t bound)> randomBelow, time_point started)
    : m_settings(settings)
    , m_randomBelow(std::move(randomBelow))
    , m_confirmed(started)
{
}

void document_freshness::confirmed(time_point moment)
{
    // The first confirmation may be older than this process.
    m_confirmed = m_isConfirmed ? std::max(m_confirmed, moment) : moment;
    m_isConfirmed = true;
}

std::optional<milliseconds> document_freshness::age(time_point now) const
{
    return m_isConfirmed ? std::optional(std::chrono::duration_cast<milliseconds>(std::max(now, m_confirmed) - m_confirmed)) : std::nullopt;
}

milliseconds document_freshness::randomBelow(milliseconds bound) const
{
    return milliseconds(m_randomBelow(std::max<std::uint64_t>(1, static_cast<std::uint64_t>(bound.count()))));
}

bool document_freshness::takeRead(std::size_t members, time_point now)
{
    if (now - m_confirmed < m_settings.readAfter) {
        m_due.reset();
        m_failuresInARow = 0;
        return false;
    }
    if (!m_due) {
        auto jitter = std::max<milliseconds>(m_settings.readJitter, members * m_settings.spreadPerMember);
        m_due = now + randomBelow(jitter);
    }
    if (m_reading || now < *m_due) {
        return false;
    }
    m_reading = true;
    return true;
}

milliseconds document_freshness::untilNextCheck(time_point now) const
{
    if (m_reading) {
        return m_settings.readAfter;
    }
    auto next = m_due.value_or(m_confirmed + m_settings.readAfter);
    // Rounded up, so that it is due by then.
    return std::chrono::duration_cast<milliseconds>(std::max(next, now) - now) + milliseconds(1);
}

void document_freshness::readEnded(bool answered, std::size_t members, time_point now)
{
    m_reading = false;
    if (answered) {
        m_due.reset();
        m_failuresInARow = 0;
        return;
    }
    auto backoff = std::min<milliseconds>(m_settings.initialBackoff * (1 << std::min(m_failuresInARow, maxDoublings)), m_settings.maxBackoff);
    backoff = std::max<milliseconds>(backoff, members * m_settings.spreadPerMember);
    ++m_failuresInARow;
    m_due = now + backoff / 2 + randomBelow(backoff);
}

}
