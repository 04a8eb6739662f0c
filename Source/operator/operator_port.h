#pragma once

#include "http/http_server.h"

#include <json/value.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace vanillashunt {

// Why the node does not do what an operator asked.
struct operator_refusal {
    std::string message;
};

using operator_reply = std::variant<Json::Value, operator_refusal>;
// Methods by which nodes tell each other what is newer than a version.
inline constexpr const char* contractsSinceMethod = "contracts_since";
inline constexpr const char* poisonSinceMethod = "poison_since";
// By which one that does not reach the store tells what it owes to it.
inline constexpr const char* poisonToldMethod = "poison_told";

using state_receiver = std::function<void(const Json::Value&)>;

// What the operator port asks of the node; a hook that is empty refuses.
struct operator_hooks {
    // Collects the state for dump and status, also from the actors; the receiver
    // is called once, later or at once.
    std::function<void(state_receiver)> collectState;
    // Writes the metrics in the text format of Prometheus, likewise.
    std::function<void(std::function<void(std::string)>)> collectMetrics;
    // The contracts, if the node knows a later revision than this one.
    std::function<operator_reply(std::int64_t revision)> contractsSince;
    // What is known of requests that end servers, and is newer than this version.
    std::function<operator_reply(std::int64_t version)> poisonSince;
    // What another node knows of such requests, and could not write to the store.
    std::function<operator_reply(const Json::Value& document)> poisonTold;
    // The parameters are as the operator's command sent them.
    std::function<operator_reply(const Json::Value& parameters)> announceStop;
    std::function<operator_reply(const Json::Value& parameters)> withdrawStop;
    // What the node remembers of one request.
    std::function<operator_reply(const std::string& requestId)> explain;
    // What the node knows of an organisation's limit.
    std::function<operator_reply(const std::string& organisation)> quota;
};

// Serves GET /metrics, and JSON-RPC 2.0 by POST /rpc, on one port.
class operator_port {
public:
    // Throws boost::system::system_error if the address cannot be bound.
    operator_port(boost::asio::io_context&, const std::string& listenAddress, operator_hooks);
    ~operator_port();

    // Where it listens: "IP:port".
    std::string address() const;

private:
    struct parts;

    std::unique_ptr<parts> m_parts;
};

}
