#include "contract/explain_contract.h"

#include "contract/derive_limits.h"
#include "contract/quantity.h"

namespace vanillashunt {

namespace {

    std::string explainAllocation(double share, const service_allocation& service)
    {
        return "  part of " + service.service + " = share / sum of shares there = " + formatReal(share) + " / " + formatRounded(service.sumOfShares)
            + " = " + formatRounded(service.fraction) + ", while all customers there have requests waiting\n";
    }

    std::string explainSheddingBand(const class_limits& limits)
    {
        auto positions = std::to_string(positionsPerImportance);
        return "  shedding band = importance x " + positions + ", and " + positions + " positions from there = "
            + std::to_string(static_cast<int>(limits.terms.level)) + " x " + positions + " = " + std::to_string(limits.band.first) + " to " + std::to_string(limits.band.last)
            + " (" + toString(limits.terms.level) + "); a node sheds the positions below its cut\n";
    }

    std::string explainRetries(const class_limits& limits)
    {
        return "  retry tokens = min(retries, bound) = min(" + std::to_string(limits.terms.retries) + ", " + std::to_string(maxRetries) + ") = "
            + std::to_string(limits.retryTokens) + ", for all calls of one request together\n";
    }

    std::string explainLedger(const class_limits& limits)
    {
        if (limits.terms.idempotent) {
            return "  ledger retention = 0, because the class is idempotent and needs no ticket\n";
        }
        return "  ledger retention = ticket lifetime = " + formatDuration(limits.ledgerRetention) + "\n";
    }

    std::string explainClass(const class_limits& limits)
    {
        const auto& terms = limits.terms;
        return "class " + terms.name + ": " + terms.method + " " + terms.service + " " + terms.pathPrefix + "\n"
            + "  time = min(deadline, time that the caller still waits) = at most " + formatDuration(terms.deadline) + "\n"
            + explainSheddingBand(limits)
            + explainRetries(limits)
            + "  refusal budget = 1 - target = 1 - " + formatReal(terms.target) + " = " + formatRounded(limits.refusalBudget) + " of the requests\n"
            + explainLedger(limits);
    }

}

std::optional<std::string> explainContract(const contract_set& contracts, const std::string& organisation)
{
    auto limits = deriveLimits(contracts);
    auto found = limits.byOrganisation.find(organisation);
    if (found == limits.byOrganisation.end()) {
        return std::nullopt;
    }
    const auto& organisationLimits = found->second;
    std::string text = "customer " + organisation + ", revision " + std::to_string(organisationLimits.revision) + "\n"
        + "  weight = share = " + formatReal(organisationLimits.weight) + "\n";
    for (const auto& service : organisationLimits.services) {
        text += explainAllocation(organisationLimits.weight, service);
    }
    for (const auto& classLimits : organisationLimits.classes) {
        text += "\n" + explainClass(classLimits);
    }
    return text;
}

}
