#pragma once

#include <cstdint>

namespace vanillashunt {

// Which requests a node accepts from its callers; narrowed step by step during a planned stop.
enum class call_intake : std::uint8_t {
    All,
    OnwardCalls, // Only calls made by runs at the own backend server, which need them to finish.
    None,
};

inline bool accepts(call_intake intake, bool isOnward)
{
    return intake == call_intake::All || (intake == call_intake::OnwardCalls && isOnward);
}

}
