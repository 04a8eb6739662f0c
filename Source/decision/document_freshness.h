#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>

namespace vanillashunt {

struct freshness_settings {
    using milliseconds = std::chrono::milliseconds;

    // A node that has not been told for this long that its version is the source's reads the source itself.
    milliseconds readAfter { 1600 };
    // The read is delayed by up to this time at random, so that nodes do not read at the same time.
    milliseconds readJitter { 150 };
    // The least delay and back-off for each member, so that the source gets no more reads from more nodes.
    milliseconds spreadPerMember { 1 };
    // Delay after a failed read; doubles with each further one.
    milliseconds initialBackoff { 400 };
    milliseconds maxBackoff { 3200 };
};

// How old this node's knowledge of a document is: the time since the source confirmed that the version here
// was its latest one, to this node or to one that told it. Decides when the node has to ask the source itself,
// whatever the reason is that nobody told it anything recent.
class document_freshness {
public:
    // The time must include the time during which the machine was suspended.
    using time_point = std::chrono::steady_clock::time_point;

    document_freshness(const freshness_settings&, std::function<std::uint64_t(std::uint64_t bound)> randomBelow, time_point started);

    // At this moment the version here was the latest one of the source.
    void confirmed(time_point moment);

    // The time since the latest confirmation; nothing before the first one.
    std::optional<std::chrono::milliseconds> age(time_point now) const;

    // Whether this node has to read the source now. If so, readEnded() has to follow.
    bool takeRead(std::size_t members, time_point now);

    // The time until takeRead() has to be called again.
    std::chrono::milliseconds untilNextCheck(time_point now) const;

    // A read was answered, or failed.
    void readEnded(bool answered, std::size_t members, time_point now);

private:
    std::chrono::milliseconds randomBelow(std::chrono::milliseconds bound) const;

    freshness_settings m_settings;
    std::function<std::uint64_t(std::uint64_t bound)> m_randomBelow;
    // The latest confirmation; before the first one, the start.
    time_point m_confirmed;
    bool m_isConfirmed = false;
    // When the next read is due; nothing while none is needed.
    std::optional<time_point> m_due;
    bool m_reading = false;
    std::uint32_t m_failuresInARow = 0;
};

}
