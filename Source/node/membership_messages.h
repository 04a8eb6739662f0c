#pragma once

#include "decision/member.h"
#include "membership/gossip_message.h"
#include "node/call_messages.h"

#include <caf/allowed_unsafe_message_type.hpp>

#include <string>
#include <vector>

namespace vanillashunt {

// The messages that membership_actor handles besides clock_tick and
// state_requested. They never leave the process.

struct gossip_arrived {
    gossip_message message;
};

struct seeds_read {
    std::vector<std::string> addresses;
};

struct self_changed {
    member self;
};

struct spread_requested {
};

struct read_seeds_soon {
};

struct member_call_ended {
    std::uint64_t memberId;
    bool answered;
};

}

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(vanillashunt::gossip_arrived)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(vanillashunt::seeds_read)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(vanillashunt::self_changed)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(vanillashunt::spread_requested)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(vanillashunt::read_seeds_soon)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(vanillashunt::member_call_ended)
