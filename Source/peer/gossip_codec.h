#pragma once

#include "membership/gossip_message.h"

#include <optional>
#include <vector>

namespace vanillashunt {

// The datagrams of gossip: magic and version of the format, checksum, and a
// payload in CAF's binary format whose layout depends on its kind.
std::vector<char> encodeGossip(const gossip_message&);

// Returns nothing for bytes that the encoder cannot have made.
std::optional<gossip_message> decodeGossip(const char* bytes, std::size_t size);

}
