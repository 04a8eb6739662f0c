#pragma once

#include <chrono>
#include <cstdint>

namespace vanillashunt {

// How far this node trusts its own view of other members, similar to the local
// health multiplier of Lifeguard. When this node was paused, or when nobody answers
// it, the fault is more likely its own.
class local_health {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // Raises the score, up to a maximum.
    void worsen();
    // Lowers the score, down to 0.
    void improve();

    // Returns the time multiplied by 1 plus the score.
    std::chrono::milliseconds scale(std::chrono::milliseconds) const;

    // Records that this process did not run for a while.
    void recordPause(time_point now);
    // Records an answer to a probe that this node sent at the given time.
    void recordAnswer(time_point sentAt, time_point now);

    // Whether a probe sent after the last pause has been answered.
    bool trusted() const { return m_trusted; }
    // Whether a probe sent at that time or later has been answered.
    bool probeAnsweredSince(time_point) const;

    std::uint32_t score() const { return m_score; }
    std::uint64_t pauses() const { return m_pauses; }

private:
    std::uint32_t m_score = 0;
    std::uint64_t m_pauses = 0;
    bool m_trusted = true;
    time_point m_pausedAt;
    time_point m_lastAnsweredSentAt;
};

}
