#include "admission/service_times.h"

namespace vanillashunt {

namespace {

    constexpr std::size_t classBound = 4096;

}

class_index service_times::indexOf(const std::string& requestClass)
{
    auto known = m_indices.find(requestClass);
    if (known != m_indices.end()) {
        return known->second;
    }
    if (m_times.size() == classBound) {
        return classBound - 1;
    }
    auto index = static_cast<class_index>(m_times.size());
    m_times.emplace_back();
    m_indices.emplace(requestClass, index);
    return index;
}

void service_times::add(class_index index, std::chrono::microseconds duration, std::chrono::steady_clock::time_point now)
{
    m_times[index].add(duration, now);
}

bool service_times::cannotFinish(class_index index, std::chrono::steady_clock::time_point deadline, std::chrono::steady_clock::time_point now) const
{
    auto least = m_times[index].get(now);
    return least && deadline - now < *least;
}

}
