#pragma once

#include "decision/shedding_position.h"

#include <chrono>

namespace vanillashunt {

// Guarantees that confirmed requests are shed only after all less important ones: at one
// gate, no confirmed request is refused for overload within the guard time before or after
// the admission of a less important one.
class shedding_order {
public:
    void admitted(shedding_position, std::chrono::steady_clock::time_point now);
    void refused(shedding_position, std::chrono::steady_clock::time_point now);

    // Whether a call at this position may be refused for overload now.
    bool mayRefuse(shedding_position, std::chrono::steady_clock::time_point now) const;

    // Whether a call at this position may start now.
    bool mayAdmit(shedding_position, std::chrono::steady_clock::time_point now) const;

private:
    std::chrono::steady_clock::time_point m_unconfirmedBlockedUntil;
    std::chrono::steady_clock::time_point m_confirmedProtectedUntil;
};

}
