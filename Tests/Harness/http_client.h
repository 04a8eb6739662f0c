#pragma once

#include <chrono>
#include <map>
#include <string>
#include <variant>

#include <strings.h>

namespace vanillashunt {

// Orders field names without regard to their case.
struct field_name_order {
    bool operator()(const std::string& a, const std::string& b) const { return strcasecmp(a.c_str(), b.c_str()) < 0; }
};

// Header fields by name; of a repeated field the last one.
using http_fields = std::map<std::string, std::string, field_name_order>;

// A whole answer.
struct http_answer {
    unsigned status = 0;
    http_fields fields;
    std::string body;

    // The field's value; empty where there is none.
    std::string field(const std::string& name) const;
};

// Why there is no whole answer.
struct http_error {
    std::string message;
    bool isTimeout = false;
    // What came of the body before.
    std::string partialBody;
};

using http_result = std::variant<http_answer, http_error>;

// Makes one request over a connection of its own, and blocks until the answer
// is whole, the connection fails or the time is over. The address is "IP:port".
http_result request(const std::string& method, const std::string& address, const std::string& path,
    const http_fields& = {}, const std::string& body = {}, std::chrono::milliseconds timeout = std::chrono::seconds(20));

}
