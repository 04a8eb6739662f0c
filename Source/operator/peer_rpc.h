#pragma once

#include "http/http_client.h"
#include "operator/operator_client.h"

#include <functional>

namespace vanillashunt {

using operator_result_handler = std::function<void(operator_result)>;

// Calls methods of other nodes' operator ports without blocking.
class peer_rpc {
public:
    // The client outlives the calls.
    explicit peer_rpc(http_client& client)
        : m_client(client)
    {
    }

    // Calls the method at "IP:port"; the handler is called exactly once, unless
    // the call is cancelled. Returns the id for cancel().
    std::uint64_t call(const std::string& address, const std::string& method, const Json::Value& parameters,
        std::chrono::milliseconds timeout, operator_result_handler);

    void cancel(std::uint64_t id) { m_client.cancel(id); }

private:
    http_client& m_client;
};

}
