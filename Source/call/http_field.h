#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace vanillashunt {

// One header field of an HTTP message.
struct http_field {
    std::string name;
    std::string value;
};

using http_fields = std::vector<http_field>;

// Returns the value of the first field with that name, ignoring case; empty if there is none.
std::string fieldValue(const http_fields&, std::string_view name);

// Compares field names, which are ASCII.
bool equalIgnoringCase(std::string_view, std::string_view);

}
