#include "contract/derive_limits.h"

#include "decision/ticket.h"

#include "contract/entry_services.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    std::vector<service_allocation> deriveAllocations(const contract& terms, const contract_set& all)
    {
        std::vector<service_allocation> allocations;
        for (const auto& service : entryServices(terms)) {
            double sum = 0;
            for (const auto& [organisation, other] : all.byOrganisation) {
                sum += entersAt(other.terms, service) ? other.terms.share : 0;
            }
            allocations.push_back({ service, sum, terms.share / sum });
        }
        return allocations;
    }

    organisation_limits deriveOrganisationLimits(const stored_contract& stored, const contract_set& all)
    {
        organisation_limits limits;
        limits.weight = stored.terms.share;
        limits.revision = stored.revision;
        limits.services = deriveAllocations(stored.terms, all);
        for (const auto& terms : stored.terms.classes) {
            limits.classes.push_back(deriveClassLimits(terms));
        }
        return limits;
    }

}

shedding_band sheddingBand(importance level)
{
    auto first = static_cast<shedding_position>(level) * positionsPerImportance;
    return { first, first + positionsPerImportance - 1 };
}

class_limits deriveClassLimits(const request_class& terms)
{
    class_limits limits;
    limits.terms = terms;
    limits.band = sheddingBand(terms.level);
    limits.retryTokens = std::min(terms.retries, maxRetries);
    limits.refusalBudget = 1 - terms.target;
    if (!terms.idempotent) {
        limits.ledgerRetention = ticketLifetime;
    }
    return limits;
}

derived_limits deriveLimits(const contract_set& contracts)
{
    derived_limits limits;
    limits.revision = contracts.revision;
    for (const auto& [organisation, stored] : contracts.byOrganisation) {
        limits.byOrganisation[organisation] = deriveOrganisationLimits(stored, contracts);
    }
    return limits;
}

}
