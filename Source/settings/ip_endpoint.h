#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace vanillashunt {

// A numeric IP address and a port, as written in the settings.
struct ip_endpoint {
    // An IPv6 address has no brackets here.
    std::string address;
    std::uint16_t port = 0;
};

// Returns whether the text is a numeric IPv4 or IPv6 address, without brackets or a port.
bool isIpAddress(const std::string&);

// Returns whether the address stands for all addresses of the machine: 0.0.0.0 or ::.
bool isUnspecified(const ip_endpoint&);

// Parses a text such as "192.0.2.1:8080" or "[2001:db8::1]:8080". Returns nothing for any other
// text.
std::optional<ip_endpoint> parseIpEndpoint(const std::string&);

}
