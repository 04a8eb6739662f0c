#pragma once

#include <json/value.h>

#include <string>

namespace vanillashunt {

// Serializes a value on one line.
std::string writeJson(const Json::Value&);

// Parses one JSON value; returns a null value if the text is not valid JSON.
Json::Value readJson(const std::string& text);

}
