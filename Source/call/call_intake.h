#pragma once

#include <cstdint>

namespace vanillashunt {

// Which calls a node accepts from its callers. Narrowed step by step during a planned stop.
enum class call_intake : std::uint8_t {
    All,
    OnwardCalls, // Only calls made by requests that run at this node's backend server and need them to finish.
    None,
};

inline bool accepts(call_intake intake, bool isOnward)
{
    return intake == call_intake::All || (intake == call_intake::OnwardCalls && isOnward);
}

}
