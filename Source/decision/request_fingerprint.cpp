#include "decision/request_fingerprint.h"

#include <xxhash.h>

#include <charconv>

namespace vanillashunt {

namespace {

    constexpr std::size_t digits = 16;
    constexpr int base = 16;

}

// The body's hash is the seed of the path's, so that no byte can move from one to the other.
request_fingerprint fingerprintOf(std::string_view path, std::string_view body)
{
    auto ofBody = XXH3_64bits(body.data(), body.size());
    return { XXH3_64bits_withSeed(path.data(), path.size(), ofBody) };
}

std::string toString(request_fingerprint fingerprint)
{
    std::string text(digits, '0');
    for (auto place = text.rbegin(); place != text.rend(); ++place) {
        *place = "0123456789abcdef"[fingerprint.value % base];
        fingerprint.value /= base;
    }
    return text;
}

std::optional<request_fingerprint> parseFingerprint(const std::string& text)
{
    request_fingerprint result;
    const auto* end = text.data() + text.size();
    auto read = std::from_chars(text.data(), end, result.value, base);
    if (text.size() != digits || read.ec != std::errc() || read.ptr != end) {
        return std::nullopt;
    }
    return result;
}

}
