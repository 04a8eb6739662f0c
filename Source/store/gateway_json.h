#pragma once

#include "http/json_text.h"
#include "store/store_client.h"

#include <json/value.h>

#include <optional>
#include <string>

namespace vanillashunt {

// Reading and writing of the gateway's JSON: keys and values are base64, and
// 64-bit integers are strings.

std::string encodeBase64(const std::string& bytes);

// Returns nothing for a text that is not base64.
std::optional<std::string> decodeBase64(const std::string& text);

// The first key after all that begin with the prefix.
std::string prefixEnd(std::string prefix);

// Returns 0 for a value that is no integer.
std::int64_t readInteger(const Json::Value&);

// Returns nothing for an entry without a readable key.
std::optional<store_entry> readEntry(const Json::Value&);

}
