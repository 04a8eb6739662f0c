#pragma once

#include <string>
#include <unordered_map>

namespace vanillashunt {

// Keeps a node's retries to a service below a fixed part of its first attempts,
// so that retries cannot become the load when a whole service fails.
class retry_budget {
public:
    void firstAttempt(const std::string& service);

    // Takes one retry; false where the part is used up.
    bool takeRetry(const std::string& service);

private:
    std::unordered_map<std::string, double> m_credit;
};

}
