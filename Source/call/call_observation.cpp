#include "call/call_observation.h"

#include <array>

namespace vanillashunt {

std::string toString(call_decision decision)
{
    constexpr std::array<const char*, 5> names { "attempt", "retry", "attempt_failed", "rejected", "finished" };
    return names.at(static_cast<std::size_t>(decision));
}

bool isShed(verdict_reason reason)
{
    return reason == verdict_reason::Overload || reason == verdict_reason::OverShare;
}

}
