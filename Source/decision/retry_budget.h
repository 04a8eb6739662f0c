#pragma once

#include <string>
#include <unordered_map>

namespace vanillashunt {

// Limits a node's retries to a service to a fixed fraction of its first attempts, so that
// retries do not overload a service that fails as a whole.
class retry_budget {
public:
    void firstAttempt(const std::string& service);

    // Takes one retry; returns false if the budget is used up.
    bool takeRetry(const std::string& service);

private:
    std::unordered_map<std::string, double> m_credit;
};

}
