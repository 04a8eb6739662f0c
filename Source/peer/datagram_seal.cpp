#include "peer/datagram_seal.h"

#include <boost/endian/conversion.hpp>
#include <xxhash.h>

namespace vanillashunt {

namespace {

    // Behind the magic number.
    constexpr std::size_t checksumOffset = 4;

}

void sealDatagram(std::vector<char>& datagram, std::uint32_t magic)
{
    auto* raw = reinterpret_cast<unsigned char*>(datagram.data());
    boost::endian::store_little_u32(raw, magic);
    boost::endian::store_little_u64(raw + checksumOffset, XXH3_64bits(raw + datagramHeadBytes, datagram.size() - datagramHeadBytes));
}

std::optional<std::string_view> openDatagram(std::string_view datagram, std::uint32_t magic)
{
    const auto* raw = reinterpret_cast<const unsigned char*>(datagram.data());
    if (datagram.size() < datagramHeadBytes || boost::endian::load_little_u32(raw) != magic) {
        return std::nullopt;
    }
    auto payload = datagram.substr(datagramHeadBytes);
    bool isWhole = boost::endian::load_little_u64(raw + checksumOffset) == XXH3_64bits(payload.data(), payload.size());
    return isWhole ? std::optional(payload) : std::nullopt;
}

}
