#include "StandIn/proxy_link.h"

#include "StandIn/event_loop.h"

#include <stdexcept>

namespace vanillashunt {

namespace {

    std::optional<link_address> parseUpstream(const std::string& text)
    {
        return text.empty() ? std::nullopt : std::optional(parseLinkAddress(text));
    }

}

link_address parseLinkAddress(const std::string& text)
{
    auto endpoint = parseEndpoint(text);
    return { endpoint.address(), endpoint.port() };
}

std::string toString(const link_address& address)
{
    return toString(tcp_endpoint(address.ip, address.port));
}

link_protocol parseProtocol(const std::string& word)
{
    if (word == "tcp") {
        return link_protocol::Tcp;
    }
    if (word == "udp") {
        return link_protocol::Udp;
    }
    if (word == "both") {
        return link_protocol::Both;
    }
    throw std::invalid_argument("protocol \"" + word + "\" is unknown; write tcp, udp or both");
}

proxy_link parseLink(const std::string& text, link_protocol protocol)
{
    proxy_link link;
    link.protocol = protocol;
    auto rest = text;
    if (auto at = rest.find('@'); at != std::string::npos) {
        link.name = rest.substr(0, at);
        rest = rest.substr(at + 1);
    }
    auto equals = rest.find('=');
    link.listen = parseLinkAddress(rest.substr(0, equals));
    if (equals != std::string::npos) {
        link.upstream = parseUpstream(rest.substr(equals + 1));
    }
    return link;
}

proxy_link parseLink(const Json::Value& value)
{
    proxy_link link;
    link.name = value["name"].asString();
    link.zone = value["zone"].asString();
    link.protocol = parseProtocol(value.get("protocol", value["udp"].asBool() ? "udp" : "tcp").asString());
    link.listen = parseLinkAddress(value.get("listen", "127.0.0.1:0").asString());
    link.upstream = parseUpstream(value["upstream"].asString());
    return link;
}

}
