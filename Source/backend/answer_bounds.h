#pragma once

#include <chrono>
#include <cstdint>

namespace vanillashunt {

// Bounds the answers of one backend server that do not declare their length. After one that did not end
// before it was given up, the server is judged to send answers without an end: for some time, further ones
// are cut off soon after they exceed what its complete answers have had.
class answer_bounds {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // `maxBytes` is the limit for any answer.
    explicit answer_bounds(std::uint64_t maxBytes);

    // The most that an answer without a declared length may have at present.
    std::uint64_t maxUndeclaredBytes(time_point now) const;

    // An answer of this size was received to its end.
    void completed(std::uint64_t bytes);

    // An answer without a declared length was given up after this many bytes.
    void givenUp(std::uint64_t bytes, time_point now);

    // Another start of the server is judged anew.
    void reset();

private:
    std::uint64_t m_maxBytes;
    std::uint64_t m_largestComplete = 0;
    time_point m_suspectUntil {};
};

}
