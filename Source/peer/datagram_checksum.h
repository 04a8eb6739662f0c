#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace vanillashunt {

// The head of a datagram between nodes: a number that names its format, and a checksum over
// what follows. Bytes of anything else, and damaged ones, are never taken for a message.
constexpr std::size_t datagramHeadBytes = 12;

// Derives the checksum seed of a mesh from its name; 0 for an empty name. The seed makes a node
// reject datagrams of another mesh whose nodes have reused an address of its own mesh.
std::uint64_t meshChecksumSeed(const std::string& meshName);

// Writes the head into its place at the beginning of the datagram.
void sealDatagram(std::vector<char>& datagram, std::uint32_t magic, std::uint64_t checksumSeed);

// Returns the payload after the head; nothing if the format or the checksum does not match,
// which includes datagrams of another mesh.
std::optional<std::string_view> openDatagram(std::string_view datagram, std::uint32_t magic, std::uint64_t checksumSeed);

}
