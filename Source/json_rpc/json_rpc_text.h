#pragma once

#include <json/value.h>

#include <string>

namespace vanillashunt {

// What a JSON-RPC response says.
struct json_rpc_response {
    bool succeeded = false;
    Json::Value result;
    // Code and text of the error, unless it succeeded.
    int errorCode = 0;
    std::string message;
};

// Writes a JSON-RPC 2.0 request with parameters by name.
std::string writeJsonRpcRequest(const std::string& method, const Json::Value& parameters);

// Reads the response; a text that is none counts as an error.
json_rpc_response readJsonRpcResponse(const std::string& text);

}
