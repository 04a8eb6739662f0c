#pragma once

#include "membership/gossip_message.h"

#include <optional>
#include <vector>

namespace vanillashunt {

// Encodes a gossip datagram: a header with magic number, format version and checksum, and a
// payload in CAF's binary format whose layout depends on the kind of the message. The result
// is empty if the serializer fails. The checksum seed is that of the mesh; see
// meshChecksumSeed().
std::vector<char> encodeGossip(const gossip_message&, std::uint64_t checksumSeed = 0);

// Returns nothing for bytes that encodeGossip() cannot have produced with the same seed.
std::optional<gossip_message> decodeGossip(const char* bytes, std::size_t size, std::uint64_t checksumSeed = 0);

}
