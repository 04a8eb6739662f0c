#include "decision/verdict.h"

#include <array>

namespace vanillashunt {

namespace {

    constexpr std::array<const char*, 3> executionNames { "not_run", "may_have_run", "ran" };

    constexpr std::array<const char*, verdictReasonCount> reasonNames {
        "answered", "unknown_service", "unknown_customer", "unknown_class", "malformed", "too_large",
        "overload", "over_share", "deadline_too_short", "deadline_passed", "caller_gone",
        "no_backend_server", "draining", "peer_unreachable", "answer_lost", "backend_unreachable",
        "backend_refused", "ticket_unknown", "ticket_needed", "answer_not_kept", "no_free_slot", "poison",
        "unknown_key", "unknown_parent", "over_quota", "answer_too_large", "no_memory"
    };

}

std::string toString(execution value)
{
    return executionNames.at(static_cast<std::size_t>(value));
}

std::string toString(verdict_reason value)
{
    return reasonNames.at(static_cast<std::size_t>(value));
}

std::optional<execution> parseExecution(const std::string& name)
{
    for (std::size_t index = 0; index < executionNames.size(); ++index) {
        if (name == executionNames[index]) {
            return static_cast<execution>(index);
        }
    }
    return std::nullopt;
}

verdict verdict::notRun(verdict_reason reason, std::chrono::milliseconds retryAfter)
{
    return { execution::NotRun, reason, retryAfter };
}

verdict verdict::mayHaveRun(verdict_reason reason)
{
    return { execution::MayHaveRun, reason, {} };
}

verdict verdict::answered()
{
    return ran(verdict_reason::Answered);
}

verdict verdict::ran(verdict_reason reason)
{
    return { execution::Ran, reason, {} };
}

}
