#include "peer/datagram_checksum.h"

#include <boost/endian/conversion.hpp>
#include <xxhash.h>

namespace vanillashunt {

namespace {

    // After the magic number.
    constexpr std::size_t checksumOffset = 4;

}

std::uint64_t meshChecksumSeed(const std::string& meshName)
{
    return meshName.empty() ? 0 : XXH3_64bits(meshName.data(), meshName.size());
}

void writeChecksumHeader(std::vector<char>& datagram, std::uint32_t magic, std::uint64_t checksumSeed)
{
    auto* raw = reinterpret_cast<unsigned char*>(datagram.data());
    boost::endian::store_little_u32(raw, magic);
    boost::endian::store_little_u64(raw + checksumOffset, XXH3_64bits_withSeed(raw + checksumHeaderBytes, datagram.size() - checksumHeaderBytes, checksumSeed));
}

std::optional<std::string_view> readChecksummedPayload(std::string_view datagram, std::uint32_t magic, std::uint64_t checksumSeed)
{
    const auto* raw = reinterpret_cast<const unsigned char*>(datagram.data());
    if (datagram.size() < checksumHeaderBytes || boost::endian::load_little_u32(raw) != magic) {
        return std::nullopt;
    }
    auto payload = datagram.substr(checksumHeaderBytes);
    bool isIntact = boost::endian::load_little_u64(raw + checksumOffset) == XXH3_64bits_withSeed(payload.data(), payload.size(), checksumSeed);
    return isIntact ? std::optional(payload) : std::nullopt;
}

}
