#pragma once

#include "operator/operator_port.h"

#include <memory>
#include <string>

namespace vanillashunt {

// The error codes of JSON-RPC that the node itself gives.
enum class operator_error_code {
    Refused = 1, // The node does not do what was asked; the message says why.
};

// The JSON-RPC methods of the operator port. A call is answered at once: what
// takes time is collected before it.
class operator_rpc {
public:
    explicit operator_rpc(operator_hooks);
    ~operator_rpc();

    // Whether a request calls a method that reads the collected state.
    static bool needsState(const std::string& requestText);

    // Answers a request, or a batch of them; the state is null unless it is needed.
    std::string answer(const std::string& requestText, const Json::Value& state);

private:
    class connector;
    class methods;

    std::unique_ptr<connector> m_connector;
    std::unique_ptr<methods> m_methods;
};

}
