#pragma once

#include <json/value.h>

#include <chrono>
#include <string>
#include <variant>
#include <vector>

namespace vanillashunt {

// Why a call to an operator port brought no result.
enum class operator_failure {
    NotSent, // No connection; the node has not been asked.
    Lost, // It may have reached the node; no whole answer came.
    Refused, // The node answered with an error.
};

struct operator_error {
    operator_failure kind = operator_failure::NotSent;
    std::string message;

    // Whether the node may have done what it was asked.
    bool mayHaveReached() const { return kind == operator_failure::Lost; }
};

using operator_result = std::variant<Json::Value, operator_error>;

// Calls a method of the operator port at "IP:port" and blocks until its result
// is there or the time is over. Parameters are by name.
operator_result callOperatorPort(const std::string& address, const std::string& method, const Json::Value& parameters, std::chrono::milliseconds timeout);

// Calls the method of several operator ports at the same time; the results are
// in the order of the addresses.
std::vector<operator_result> callOperatorPorts(const std::vector<std::string>& addresses, const std::string& method, const Json::Value& parameters, std::chrono::milliseconds timeout);

}
