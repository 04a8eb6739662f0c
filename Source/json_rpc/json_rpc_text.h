#pragma once

#include <json/value.h>

#include <string>

namespace vanillashunt {

// A parsed JSON-RPC response.
struct json_rpc_response {
    bool succeeded = false;
    Json::Value result;
    // Code and text of the error, if the call did not succeed.
    int errorCode = 0;
    std::string message;
};

// Serializes a JSON-RPC 2.0 request with named parameters.
std::string writeJsonRpcRequest(const std::string& method, const Json::Value& parameters);

// Parses a response. A text that is not a valid JSON-RPC response yields an error response.
json_rpc_response readJsonRpcResponse(const std::string& text);

}
