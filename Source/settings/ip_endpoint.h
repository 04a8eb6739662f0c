#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace vanillashunt {

// A network address of numbers and a port, as the settings write them.
struct ip_endpoint {
    // IPv6 without its brackets.
    std::string address;
    std::uint16_t port = 0;
};

// Whether the text is an IPv4 or IPv6 number, without brackets or a port.
bool isIpAddress(const std::string&);

// Whether the address stands for every address of the machine: 0.0.0.0 or ::.
bool isUnspecified(const ip_endpoint&);

// Reads "192.0.2.1:8080" or "[2001:db8::1]:8080"; nothing for any other text.
std::optional<ip_endpoint> parseIpEndpoint(const std::string&);

}
