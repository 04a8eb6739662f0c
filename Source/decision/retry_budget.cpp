#include "decision/retry_budget.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    // Retries for each first attempt, in the long run.
    constexpr double ratio = 0.1;

    // Retries that a service may cost at once, so that one dead server among few
    // calls does not use the budget up.
    constexpr double most = 20;

}

void retry_budget::firstAttempt(const std::string& service)
{
    auto& credit = m_credit.try_emplace(service, most).first->second;
    credit = std::min(most, credit + ratio);
}

bool retry_budget::takeRetry(const std::string& service)
{
    auto& credit = m_credit.try_emplace(service, most).first->second;
    if (credit < 1) {
        return false;
    }
    credit -= 1;
    return true;
}

}
