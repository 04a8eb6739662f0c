#pragma once

#include "admission/least_time.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillashunt {

// Names a request class inside one process; small, so that it indexes arrays.
using class_index = std::uint32_t;

// The least time that each request class was seen to need.
class service_times {
public:
    // The class's index; new ones get one, up to a bound, and those beyond it share the last.
    class_index indexOf(const std::string& requestClass);

    void add(class_index, std::chrono::microseconds, std::chrono::steady_clock::time_point now);

    // Whether the class has lately never been done in the time that is left.
    bool cannotFinish(class_index, std::chrono::steady_clock::time_point deadline, std::chrono::steady_clock::time_point now) const;

private:
    std::unordered_map<std::string, class_index> m_indices;
    std::vector<least_time> m_times;
};

}
