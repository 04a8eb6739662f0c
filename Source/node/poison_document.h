#pragma once

#include "decision/poison_ledger.h"

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace vanillashunt {

// The document, shared by all nodes, on requests that terminate backend servers; or the records
// that changed in it.
struct poison_document {
    // Increases by one with each write.
    std::int64_t version = 0;
    std::vector<poison_record> records;
};

Json::Value toJson(const poison_document&);

// Skips malformed records; returns std::nullopt if the document itself is malformed.
std::optional<poison_document> parsePoisonDocument(const Json::Value&);
std::optional<poison_document> parsePoisonDocument(const std::string&);

}
