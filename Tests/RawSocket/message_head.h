#pragma once

#include <string>

namespace vanillashunt {

// The value of a field in the head of an HTTP message; empty if it has none.
inline std::string fieldOf(const std::string& head, const std::string& name)
{
    auto place = head.find("\r\n" + name + ": ");
    if (place == std::string::npos) {
        return "";
    }
    place += name.size() + 4;
    return head.substr(place, head.find("\r\n", place) - place);
}

}
