#include "platform/seed_directory.h"

#include "platform/gateway_json.h"

#include <json/value.h>

namespace vanillashunt {

std::string writeSeed(const member& entry)
{
    Json::Value value;
    value["id"] = Json::UInt64(entry.id);
    value["name"] = entry.name;
    value["availability_zone"] = entry.availabilityZone;
    value["region"] = entry.region;
    value["address"] = entry.address;
    value["operator_address"] = entry.operatorAddress;
    value["service"] = entry.service;
    value["slots"] = entry.slots;
    value["uptime_ms"] = Json::Int64(entry.uptime.count());
    return writeJson(value);
}

std::optional<member> readSeed(const std::string& text, std::chrono::steady_clock::time_point now)
{
    auto value = readJson(text);
    if (!value.isObject() || !value["id"].isUInt64() || !value["slots"].isUInt()) {
        return std::nullopt;
    }
    member entry;
    entry.id = value["id"].asUInt64();
    entry.name = value["name"].asString();
    entry.availabilityZone = value["availability_zone"].asString();
    entry.region = value["region"].asString();
    entry.address = value["address"].asString();
    entry.operatorAddress = value["operator_address"].asString();
    entry.service = value["service"].asString();
    entry.slots = value["slots"].asUInt();
    entry.uptime = std::chrono::milliseconds(readInteger(value["uptime_ms"]));
    entry.uptimeReceived = now;
    return entry;
}

}
