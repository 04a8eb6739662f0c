#include "backend/answer_bounds.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    constexpr std::chrono::seconds suspicionTime { 30 };
    // A shorter answer may have been given up for other reasons.
    constexpr std::uint64_t minSuspectBytes = 8ULL * 1024 * 1024;
    constexpr std::uint64_t completeFactor = 2;

}

answer_bounds::answer_bounds(std::uint64_t maxBytes)
    : m_maxBytes(maxBytes)
{
}

std::uint64_t answer_bounds::maxUndeclaredBytes(time_point now) const
{
    if (now >= m_suspectUntil) {
        return m_maxBytes;
    }
    return std::min(m_maxBytes, std::max(minSuspectBytes, completeFactor * m_largestComplete));
}

void answer_bounds::completed(std::uint64_t bytes)
{
    m_largestComplete = std::max(m_largestComplete, bytes);
}

void answer_bounds::givenUp(std::uint64_t bytes, time_point now)
{
    if (bytes >= std::min(minSuspectBytes, m_maxBytes)) {
        m_suspectUntil = now + suspicionTime;
    }
}

void answer_bounds::reset()
{
    m_largestComplete = 0;
    m_suspectUntil = {};
}

}
