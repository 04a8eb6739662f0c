#pragma once

#include "call/http_field.h"

#include <string>

namespace vanillashunt {

// A whole HTTP request; hop-by-hop fields are neither read into it nor sent from it.
struct http_request {
    std::string method;
    std::string target;
    http_fields fields;
    std::string body;
};

// A whole HTTP response, likewise.
struct http_response {
    unsigned status = 0;
    http_fields fields;
    std::string body;
};

// Whether a field belongs to one connection and not to the message (RFC 9110, 7.6.1),
// or is made anew by whoever sends the message.
bool isHopByHop(const std::string& fieldName);

}
