#pragma once

#include "StandIn/key_value_store.h"

#include <json/json.h>

#include <string>

namespace vanillashunt {

// The member under its protobuf name or the lowerCamelCase form of it, both of
// which the gateway reads; null where there is neither.
Json::Value member(const Json::Value&, const std::string& name);

// The gateway writes 64-bit numbers as strings and reads both forms.
std::int64_t parseNumber(const Json::Value&);
Json::Value numberToJson(std::int64_t);

// Keys and values are base64 on the wire.
std::string parseBytes(const Json::Value&);
Json::Value bytesToJson(const std::string&);

key_range parseKeyRange(const Json::Value&);
range_request parseRangeRequest(const Json::Value&);
put_request parsePutRequest(const Json::Value&);
delete_request parseDeleteRequest(const Json::Value&);
transaction parseTransaction(const Json::Value&);

Json::Value toJson(const key_value&);
Json::Value toJson(const store_event&, bool withPrevious);

// The answer without its header.
Json::Value toJson(const store_result&);

}
