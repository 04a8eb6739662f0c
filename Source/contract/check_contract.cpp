#include "contract/check_contract.h"

#include "contract/entry_services.h"
#include "contract/quantity.h"

namespace vanillashunt {

namespace {

    // Tolerance for sums in binary floating point: shares such as 0.7, 0.2 and 0.1 add up
    // to slightly more than 1.
    constexpr double roundingError = 1e-9;

    std::optional<std::string> findExcessShares(const contract& terms, const contract_set& others, const std::string& service)
    {
        double othersShare = 0;
        std::string listed;
        for (const auto& [organisation, other] : others.byOrganisation) {
            if (organisation == terms.organisation || !entersAt(other.terms, service)) {
                continue;
            }
            othersShare += other.terms.share;
            listed += " + " + formatReal(other.terms.share) + " of customer " + organisation;
        }
        if (othersShare + terms.share <= 1 + roundingError) {
            return std::nullopt;
        }
        return "the shares at service " + service + " add up to more than 1: " + formatReal(terms.share) + " of customer " + terms.organisation + listed + "; lower a share, or move a class to another service";
    }

}

std::optional<std::string> findImpossibleDeadline(const request_class& candidate)
{
    auto needed = minAttemptTime * (1 + candidate.retries);
    if (candidate.deadline >= needed) {
        return std::nullopt;
    }
    return "deadline is \"" + formatDuration(candidate.deadline) + "\", but the first attempt and " + std::to_string(candidate.retries) + " retries need " + formatDuration(minAttemptTime) + " each; write at least deadline = \"" + formatDuration(needed) + "\", or fewer retries";
}

std::vector<text_problem> checkAgainstOthers(const contract& terms, const contract_set& others, const std::string& fileName)
{
    std::vector<text_problem> problems;
    for (const auto& candidate : terms.classes) {
        if (auto message = findImpossibleDeadline(candidate)) {
            problems.push_back({ fileName, 0, "class \"" + candidate.name + "\": " + *message });
        }
    }
    for (const auto& service : entryServices(terms)) {
        if (auto message = findExcessShares(terms, others, service)) {
            problems.push_back({ fileName, 0, *message });
        }
    }
    return problems;
}

}
