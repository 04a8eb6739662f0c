#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace vanillashunt {

// Size of the header of a datagram between nodes: a magic number that identifies the format,
// and a checksum of the payload. Datagrams of other protocols and corrupted datagrams are
// therefore rejected.
constexpr std::size_t checksumHeaderBytes = 12;

// Derives the checksum seed of a mesh from its name; 0 for an empty name. The seed makes a node
// reject datagrams of another mesh whose nodes have reused an address of its own mesh.
std::uint64_t meshChecksumSeed(const std::string& meshName);

// Writes the header into the first checksumHeaderBytes bytes of the datagram, which the
// caller has reserved.
void writeChecksumHeader(std::vector<char>& datagram, std::uint32_t magic, std::uint64_t checksumSeed);

// Returns the payload after the header, as a view of the datagram; nothing if the magic
// number or the checksum does not match, which includes datagrams of another mesh.
std::optional<std::string_view> readChecksummedPayload(std::string_view datagram, std::uint32_t magic, std::uint64_t checksumSeed);

}
