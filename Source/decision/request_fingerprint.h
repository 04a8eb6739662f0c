#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace vanillashunt {

// What a request asks for, whatever its id: two requests of the same path and body have
// the same one. Who calls is left out on purpose, so that the same content is known again
// at whichever machine it comes in.
struct request_fingerprint {
    std::uint64_t value = 0;
};

inline bool operator==(request_fingerprint left, request_fingerprint right)
{
    return left.value == right.value;
}

inline bool operator!=(request_fingerprint left, request_fingerprint right)
{
    return !(left == right);
}

inline bool operator<(request_fingerprint left, request_fingerprint right)
{
    return left.value < right.value;
}

// The path is with its query.
request_fingerprint fingerprintOf(std::string_view path, std::string_view body);

// 16 hexadecimal digits.
std::string toString(request_fingerprint);
std::optional<request_fingerprint> parseFingerprint(const std::string&);

}

template <>
struct std::hash<vanillashunt::request_fingerprint> {
    std::size_t operator()(vanillashunt::request_fingerprint fingerprint) const { return fingerprint.value; }
};
