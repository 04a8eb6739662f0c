#pragma once

#include "StandIn/load_request.h"

#include <json/json.h>

#include <map>
#include <string>
#include <vector>

namespace vanillashunt {

// Counts the results of a load, together and by the name of their kind.
class load_summary {
public:
    void add(const load_result&);

    // Goodput is measured over the time in which requests arrived.
    Json::Value toJson(std::chrono::microseconds arrivalTime) const;

private:
    // The requests first sent in one second.
    struct second {
        std::uint64_t offered = 0;
        std::uint64_t succeeded = 0;
    };

    struct group {
        std::uint64_t offered = 0;
        std::uint64_t succeeded = 0;
        std::uint64_t attempts = 0;
        std::uint64_t broken = 0;
        std::uint64_t wrong = 0;
        // Of the last attempts.
        std::map<std::string, std::uint64_t> verdicts;
        // Of the requests that succeeded.
        std::vector<std::chrono::microseconds> latencies;
        std::vector<second> bySecond;
    };

    static void add(group&, const load_result&);
    static Json::Value toJson(const group&, std::chrono::microseconds arrivalTime);

    group m_all;
    std::map<std::string, group> m_byName;
};

}
