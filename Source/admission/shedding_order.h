#pragma once

#include "decision/shedding_position.h"

#include <chrono>

namespace vanillashunt {

// Keeps the promise that confirmed requests are shed only after all lesser ones:
// no confirmed request is refused for overload within a guard time, before or
// after, of a lesser one being admitted at the same gate.
class shedding_order {
public:
    void admitted(shedding_position, std::chrono::steady_clock::time_point now);
    void refused(shedding_position, std::chrono::steady_clock::time_point now);

    // Whether a call at this position may be refused for overload now.
    bool mayRefuse(shedding_position, std::chrono::steady_clock::time_point now) const;

    // Whether a call at this position may start now.
    bool mayAdmit(shedding_position, std::chrono::steady_clock::time_point now) const;

private:
    std::chrono::steady_clock::time_point m_lesserBarredUntil;
    std::chrono::steady_clock::time_point m_confirmedSafeUntil;
};

}
