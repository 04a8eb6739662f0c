#include "decision/retry_budget.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    // Long-term number of retries per first attempt.
    constexpr double ratio = 0.1;

    // Retries to one service that are possible in a burst, so that a single dead server does
    // not use up the budget of a service with few calls.
    constexpr double maxCredit = 20;

}

void retry_budget::firstAttempt(const std::string& service)
{
    auto& credit = m_credit.try_emplace(service, maxCredit).first->second;
    credit = std::min(maxCredit, credit + ratio);
}

bool retry_budget::takeRetry(const std::string& service)
{
    auto& credit = m_credit.try_emplace(service, maxCredit).first->second;
    if (credit < 1) {
        return false;
    }
    credit -= 1;
    return true;
}

}
