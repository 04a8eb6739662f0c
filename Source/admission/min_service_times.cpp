#include "admission/min_service_times.h"

namespace vanillashunt {

namespace {

    constexpr std::size_t maxClasses = 4096;

}

class_index min_service_times::indexOf(const std::string& requestClass)
{
    auto known = m_indices.find(requestClass);
    if (known != m_indices.end()) {
        return known->second;
    }
    if (m_times.size() == maxClasses) {
        return maxClasses - 1;
    }
    auto index = static_cast<class_index>(m_times.size());
    m_times.emplace_back();
    m_indices.emplace(requestClass, index);
    return index;
}

void min_service_times::add(class_index index, std::chrono::microseconds duration, std::chrono::steady_clock::time_point now)
{
    m_times[index].add(duration, now);
}

bool min_service_times::cannotFinish(class_index index, std::chrono::steady_clock::time_point deadline, std::chrono::steady_clock::time_point now) const
{
    auto shortest = m_times[index].get(now);
    return shortest && deadline - now < *shortest;
}

}
