#pragma once

#include "decision/poison_ledger.h"

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace vanillashunt {

// The document of all nodes on requests that end servers, or what changed in it.
struct poison_document {
    // Rises by one with each write.
    std::int64_t version = 0;
    std::vector<poison_record> records;
};

Json::Value toJson(const poison_document&);

// Reads all that is well formed; nothing for what no node has written.
std::optional<poison_document> parsePoisonDocument(const Json::Value&);
std::optional<poison_document> parsePoisonDocument(const std::string&);

}
