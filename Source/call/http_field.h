#pragma once

#include <string>
#include <vector>

namespace vanillashunt {

// One header field of an HTTP message.
struct http_field {
    std::string name;
    std::string value;
};

using http_fields = std::vector<http_field>;

// Returns the value of the first field of that name, in any case; empty if there is none.
std::string fieldValue(const http_fields&, const std::string& name);

bool equalIgnoringCase(const std::string&, const std::string&);

}
