#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace vanillashunt {

// The head of a datagram between nodes: a number that names its format, and a checksum over
// what follows. Bytes of anything else, and damaged ones, are never taken for a message.
constexpr std::size_t datagramHeadBytes = 12;

// Writes the head into its place at the beginning of the datagram.
void sealDatagram(std::vector<char>& datagram, std::uint32_t magic);

// What follows the head; nothing for another format or a wrong checksum.
std::optional<std::string_view> openDatagram(std::string_view datagram, std::uint32_t magic);

}
