#pragma once

#include "membership/gossip_message.h"

#include <optional>
#include <vector>

namespace vanillashunt {

// The datagrams of gossip: magic and version of the format, checksum, and a
// payload in CAF's binary format whose layout depends on its kind.
// The checksum seed is that of the mesh; see meshChecksumSeed.
std::vector<char> encodeGossip(const gossip_message&, std::uint64_t checksumSeed = 0);

// Returns nothing for bytes that the encoder cannot have made.
std::optional<gossip_message> decodeGossip(const char* bytes, std::size_t size, std::uint64_t checksumSeed = 0);

}
