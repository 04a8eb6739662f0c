#pragma once

#include "StandIn/fault_rules.h"

#include <boost/asio/ip/address.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace vanillashunt {

// Which protocols a link relays.
enum class link_protocol : std::uint8_t {
    Tcp,
    Udp,
    Both,
};

// Where something listens, for TCP and UDP alike.
struct link_address {
    boost::asio::ip::address ip;
    unsigned short port = 0;
};

// A relay between a listening address and an upstream.
struct proxy_link {
    std::string name;
    // The zone of the upstream, by which rules may choose the link.
    std::string zone;
    link_protocol protocol = link_protocol::Tcp;
    // With port 0 until it is bound.
    link_address listen;
    // Not set until the upstream is known.
    std::optional<link_address> upstream;
};

// What passed through a link.
struct link_counters {
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;
    std::uint64_t datagrams = 0;
    std::uint64_t datagramBytes = 0;
    std::uint64_t droppedDatagrams = 0;
};

// Throws std::invalid_argument for a text that is no "IP:port".
link_address parseLinkAddress(const std::string& text);
std::string toString(const link_address&);

// Reads "tcp", "udp" or "both"; throws std::invalid_argument.
link_protocol parseProtocol(const std::string& word);

// Reads "NAME@LISTEN=UPSTREAM", of which the name and the upstream may be missing.
proxy_link parseLink(const std::string& text, link_protocol);

// Reads the body of the control command "add".
proxy_link parseLink(const Json::Value&);

}
