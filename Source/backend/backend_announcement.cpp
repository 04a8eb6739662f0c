#include "backend/backend_announcement.h"

#include "http/json_text.h"
#include "http/socket_address.h"

namespace vanillashunt {

namespace {

    constexpr std::uint32_t largestSlots = 100000;
    constexpr std::uint32_t largestColdStartMilliseconds = 600000;

    bool readCount(const Json::Value& value, std::uint32_t largest, std::uint32_t& into)
    {
        if (value.isNull()) {
            return true;
        }
        if (!value.isUInt() || value.asUInt() > largest) {
            return false;
        }
        into = value.asUInt();
        return true;
    }

    std::string readText(const Json::Value& value)
    {
        return value.isString() ? value.asString() : std::string();
    }

    announcement_problem problem(const std::string& key, const std::string& mend)
    {
        return { "announcement of a backend server: \"" + key + "\" " + mend };
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
        return problem("service", "is missing; name the service that it serves");
    }
    result.address = readText(value["address"]);
    if (!parseEndpoint(result.address)) {
        return problem("address", "is not \"IP:port\"; give the address where it serves");
    }
    if (!readCount(value["slots"], largestSlots, result.slots) || result.slots == 0) {
        return problem("slots", "must be a whole number from 1 to " + std::to_string(largestSlots));
    }
    if (!readCount(value["connections"], largestSlots, result.connections)) {
        return problem("connections", "must be a whole number up to " + std::to_string(largestSlots));
    }
    std::uint32_t coldStart = 0;
    if (!readCount(value["cold_start_ms"], largestColdStartMilliseconds, coldStart)) {
        return problem("cold_start_ms", "must be a whole number up to " + std::to_string(largestColdStartMilliseconds));
    }
    result.coldStart = std::chrono::milliseconds(coldStart);
    result.loadPath = readText(value["load_path"]);
    result.healthPath = readText(value["health_path"]);
    return result;
}

}
