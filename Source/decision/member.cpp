#include "decision/member.h"

#include <array>

namespace vanillashunt {

std::string toString(member_state state)
{
    constexpr std::array<const char*, 5> words { "alive", "suspect", "draining", "left", "dead" };
    return words.at(static_cast<std::size_t>(state));
}

}
