#pragma once

#include <chrono>
#include <string>
#include <unordered_map>

namespace vanillashunt {

// Relates the service time that a target reports for a class of requests to the mean over all
// targets. The paces of targets that run different classes become comparable this way.
class relative_pace {
public:
    // Adds a target's report to the mean of the class. Returns the target's pace: its service time
    // divided by the mean.
    double learn(const std::string& requestClass, std::chrono::microseconds meanServiceTime);

private:
    // Mean of the reported service times in microseconds, by class.
    std::unordered_map<std::string, double> m_means;
};

}
