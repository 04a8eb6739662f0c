#pragma once

#include "quota/quota_message.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace vanillashunt {

// Encodes a quota datagram: a header with the format version and a checksum, and a payload in
// CAF's binary format. The result is empty if the message does not fit into one datagram.
std::vector<char> encodeQuota(const quota_message&, std::uint64_t checksumSeed = 0);

// Returns nothing for bytes that encodeQuota() cannot have produced with the same seed.
std::optional<quota_message> decodeQuota(const char* bytes, std::size_t size, std::uint64_t checksumSeed = 0);

}
