#include "decision/member.h"

#include <array>

namespace vanillashunt {

std::string toString(member_state state)
{
    constexpr std::array<const char*, 5> names { "alive", "suspect", "draining", "left", "dead" };
    return names.at(static_cast<std::size_t>(state));
}

}
