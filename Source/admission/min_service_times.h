#pragma once

#include "admission/recent_minimum.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillashunt {

// Identifies a request class within one min_service_times object; serves as an array
// index.
using class_index = std::uint32_t;

// The shortest recent service time of each request class.
class min_service_times {
public:
    // The index of the class. A new class gets a new index, up to a maximum number; further
    // classes share the last index.
    class_index indexOf(const std::string& requestClass);

    void add(class_index, std::chrono::microseconds, std::chrono::steady_clock::time_point now);

    // Whether the time until the deadline is shorter than every recent duration of the class.
    bool cannotFinish(class_index, std::chrono::steady_clock::time_point deadline, std::chrono::steady_clock::time_point now) const;

private:
    std::unordered_map<std::string, class_index> m_indices;
    std::vector<recent_minimum> m_times;
};

}
