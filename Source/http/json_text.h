#pragma once

#include <json/value.h>

#include <string>

namespace vanillashunt {

// Writes a value on one line.
std::string writeJson(const Json::Value&);

// Returns a null value for a text that is not JSON.
Json::Value readJson(const std::string& text);

}
