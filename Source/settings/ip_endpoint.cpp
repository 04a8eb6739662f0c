#include "settings/ip_endpoint.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace vanillashunt {

namespace {

    using ip_bytes = std::array<unsigned char, sizeof(in6_addr)>;

    // An IPv4 address fills the first four bytes; the others are zero.
    std::optional<ip_bytes> toBytes(const std::string& address)
    {
        ip_bytes bytes {};
        int family = address.find(':') == std::string::npos ? AF_INET : AF_INET6;
        if (address.find('\0') != std::string::npos || inet_pton(family, address.c_str(), bytes.data()) != 1) {
            return std::nullopt;
        }
        return bytes;
    }

    std::optional<std::uint16_t> parsePort(const std::string& text)
    {
        std::uint16_t port = 0;
        const char* end = text.data() + text.size();
        auto [rest, error] = std::from_chars(text.data(), end, port);
        if (error != std::errc() || rest != end) {
            return std::nullopt;
        }
        return port;
    }

    // Removes the brackets around an IPv6 address, which are required before a port.
    std::optional<std::string> parseHost(const std::string& text)
    {
        bool isV6 = text.find(':') != std::string::npos;
        if (!isV6) {
            return text;
        }
        if (text.front() != '[' || text.back() != ']') {
            return std::nullopt;
        }
        return text.substr(1, text.size() - 2);
    }

}

bool isIpAddress(const std::string& text)
{
    return toBytes(text).has_value();
}

bool isUnspecified(const ip_endpoint& endpoint)
{
    return toBytes(endpoint.address) == ip_bytes {};
}

std::optional<ip_endpoint> parseIpEndpoint(const std::string& text)
{
    auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    auto host = parseHost(text.substr(0, colon));
    auto port = parsePort(text.substr(colon + 1));
    if (!host || !port || !isIpAddress(*host)) {
        return std::nullopt;
    }
    return ip_endpoint { *host, *port };
}

}
