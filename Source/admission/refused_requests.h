#pragma once

#include "decision/request_fingerprint.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <unordered_map>

namespace vanillashunt {

// The requests that were refused here a moment ago and told to come back: one that
// does is known by what it asks for, since each try has an id of its own.
class refused_requests {
public:
    using time_point = std::chrono::steady_clock::time_point;

    void refused(request_fingerprint, time_point now);

    // Whether such a request was refused lately. Each refusal stands for one return.
    bool takeReturn(request_fingerprint, time_point now);

    std::size_t size() const { return m_order.size(); }

private:
    struct remembered {
        request_fingerprint content;
        time_point until;
    };

    void forgetLate(time_point now);

    // Until when each is remembered.
    std::unordered_multimap<request_fingerprint, time_point> m_until;
    // In the order in which they are forgotten.
    std::deque<remembered> m_order;
};

}
