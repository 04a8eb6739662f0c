#pragma once

#include "call/http_field.h"
#include "call/message_body.h"

#include <chrono>
#include <string>

namespace vanillashunt {

// A complete HTTP request, without its hop-by-hop fields.
struct http_request {
    std::string method;
    std::string target;
    http_fields fields;
    message_body body;
};

// A complete HTTP response, without its hop-by-hop fields.
struct http_response {
    unsigned status = 0;
    http_fields fields;
    message_body body;
    // When the header of a backend server's response arrived, which orders responses that were
    // sent on different connections.
    std::chrono::steady_clock::time_point headerReceived {};
};

// Whether a field applies to a single connection and is not forwarded (RFC 9110, 7.6.1),
// or is generated anew by each sender of the message, such as Host and Content-Length.
bool isHopByHop(const std::string& fieldName);

}
