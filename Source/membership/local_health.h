#pragma once

#include <chrono>
#include <cstdint>

namespace vanillashunt {

// How far this node trusts its own view of others. A node that was paused, or
// that nobody answers, is itself the likelier culprit.
class local_health {
public:
    using time_point = std::chrono::steady_clock::time_point;

    void worsen();
    void improve();

    // Stretches a time by the score.
    std::chrono::milliseconds stretch(std::chrono::milliseconds) const;

    // Notes that this node did not run for a while.
    void paused(time_point now);
    // Notes an answer to an own probe that was sent at the time given.
    void answered(time_point sentAt, time_point now);

    // Whether an answer has come since the last pause.
    bool trusted() const { return m_trusted; }
    // Whether some probe sent since then was answered.
    bool heardSince(time_point) const;

    std::uint32_t score() const { return m_score; }
    std::uint64_t pauses() const { return m_pauses; }

private:
    std::uint32_t m_score = 0;
    std::uint64_t m_pauses = 0;
    bool m_trusted = true;
    time_point m_pausedAt;
    time_point m_answeredSentAt;
};

}
