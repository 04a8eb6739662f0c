#pragma once

#include <chrono>
#include <string>
#include <unordered_map>

namespace vanillashunt {

// What targets tell of the time that a class of requests takes there, against the mean of all
// that told: so that the pace of a target which runs one class can be compared with that of
// a target which runs another.
class relative_pace {
public:
    // A target told its usual time for the class. Returns how much longer that is than the mean.
    double learn(const std::string& requestClass, std::chrono::microseconds meanServiceTime);

private:
    // Mean of what was told, in microseconds, by class.
    std::unordered_map<std::string, double> m_means;
};

}
