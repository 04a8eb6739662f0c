#include "backend/backend_announcement.h"

#include "http/json_text.h"
#include "http/socket_address.h"

namespace vanillashunt {

namespace {

    constexpr std::uint32_t maxSlots = 100000;
    constexpr std::uint32_t maxColdStartMilliseconds = 600000;

    bool readCount(const Json::Value& value, std::uint32_t maxValue, std::uint32_t& result)
    {
        if (value.isNull()) {
            return true;
        }
        if (!value.isUInt() || value.asUInt() > maxValue) {
            return false;
        }
        result = value.asUInt();
        return true;
    }

    std::string readText(const Json::Value& value)
    {
        return value.isString() ? value.asString() : std::string();
    }

    announcement_problem invalidMember(const std::string& key, const std::string& message)
    {
        return { "announcement of a backend server: \"" + key + "\" " + message };
    }

}

parse_announcement_result parseAnnouncement(const std::string& text)
{
    auto value = readJson(text);
    if (!value.isObject()) {
        return announcement_problem { "announcement of a backend server: the body is not a JSON object; send one with \"service\", \"address\" and \"slots\"" };
    }
    backend_announcement result;
    result.service = readText(value["service"]);
    if (result.service.empty()) {
        return invalidMember("service", "is missing; name the service that it serves");
    }
    result.address = readText(value["address"]);
    if (!parseEndpoint(result.address)) {
        return invalidMember("address", "must be the \"IP:port\" address on which it serves");
    }
    if (!readCount(value["slots"], maxSlots, result.slots) || result.slots == 0) {
        return invalidMember("slots", "must be an integer from 1 to " + std::to_string(maxSlots));
    }
    if (!readCount(value["connections"], maxSlots, result.connections)) {
        return invalidMember("connections", "must be an integer from 0 to " + std::to_string(maxSlots));
    }
    std::uint32_t coldStart = 0;
    if (!readCount(value["cold_start_ms"], maxColdStartMilliseconds, coldStart)) {
        return invalidMember("cold_start_ms", "must be an integer from 0 to " + std::to_string(maxColdStartMilliseconds));
    }
    result.coldStart = std::chrono::milliseconds(coldStart);
    result.loadPath = readText(value["load_path"]);
    result.healthPath = readText(value["health_path"]);
    return result;
}

}
