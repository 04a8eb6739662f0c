#include "decision/request_fingerprint.h"

#include <xxhash.h>

#include <charconv>

namespace vanillashunt {

namespace {

    constexpr std::size_t digits = 16;
    constexpr int base = 16;

}

// Seeds the path's hash with the body's hash, so that moving bytes from one to the other changes
// the fingerprint.
request_fingerprint fingerprintOf(std::string_view path, std::string_view body)
{
    auto bodyHash = XXH3_64bits(body.data(), body.size());
    return { XXH3_64bits_withSeed(path.data(), path.size(), bodyHash) };
}

std::string toString(request_fingerprint fingerprint)
{
    std::string text(digits, '0');
    for (auto digit = text.rbegin(); digit != text.rend(); ++digit) {
        *digit = "0123456789abcdef"[fingerprint.value % base];
        fingerprint.value /= base;
    }
    return text;
}

std::optional<request_fingerprint> parseFingerprint(const std::string& text)
{
    request_fingerprint result;
    const auto* end = text.data() + text.size();
    auto parsed = std::from_chars(text.data(), end, result.value, base);
    if (text.size() != digits || parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return result;
}

}
