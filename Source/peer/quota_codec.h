#pragma once

#include "quota/quota_message.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace vanillashunt {

// Datagrams on quotas: a head with the format's version and a checksum, then CAF's binary
// format. Empty if the message is too long for one.
std::vector<char> encodeQuota(const quota_message&, std::uint64_t checksumSeed = 0);

// Nothing for bytes that encodeQuota cannot have made.
std::optional<quota_message> decodeQuota(const char* bytes, std::size_t size, std::uint64_t checksumSeed = 0);

}
