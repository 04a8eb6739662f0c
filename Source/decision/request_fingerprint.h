#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace vanillashunt {

// A hash of the path and body of a request. The request's id is not part of it, and neither
// is the caller, so that every machine recognises a request with the same content.
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

// The path includes the query.
request_fingerprint fingerprintOf(std::string_view path, std::string_view body);

// 16 hexadecimal digits.
std::string toString(request_fingerprint);
std::optional<request_fingerprint> parseFingerprint(const std::string&);

}

template <>
struct std::hash<vanillashunt::request_fingerprint> {
    std::size_t operator()(vanillashunt::request_fingerprint fingerprint) const { return fingerprint.value; }
};
