#include "contract/diff_contracts.h"

#include "contract/quantity.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    const request_class* findByName(const contract& terms, const std::string& name)
    {
        auto found = std::find_if(terms.classes.begin(), terms.classes.end(), [&](const auto& candidate) { return candidate.name == name; });
        return found == terms.classes.end() ? nullptr : &*found;
    }

    std::string summarize(const request_class& terms)
    {
        return terms.method + " " + terms.service + " " + terms.pathPrefix + ", " + toString(terms.level) + ", " + formatDuration(terms.deadline);
    }

    std::string formatBoolean(bool value)
    {
        return value ? "true" : "false";
    }

    // Collects a difference for each key of one class whose values differ.
    class class_comparison {
    public:
        class_comparison(const std::string& name, std::vector<contract_difference>& differences)
            : m_name(name)
            , m_differences(differences)
        {
        }

        void compare(const std::string& key, const std::string& before, const std::string& after)
        {
            if (before != after) {
                m_differences.push_back({ contract_change::ClassChanged, m_name, key, before, after });
            }
        }

    private:
        const std::string& m_name;
        std::vector<contract_difference>& m_differences;
    };

    void diffClasses(const request_class& before, const request_class& after, std::vector<contract_difference>& differences)
    {
        class_comparison comparison(after.name, differences);
        comparison.compare("service", before.service, after.service);
        comparison.compare("method", before.method, after.method);
        comparison.compare("path", before.pathPrefix, after.pathPrefix);
        comparison.compare("idempotent", formatBoolean(before.idempotent), formatBoolean(after.idempotent));
        comparison.compare("importance", toString(before.level), toString(after.level));
        comparison.compare("deadline", formatDuration(before.deadline), formatDuration(after.deadline));
        comparison.compare("target", formatReal(before.target), formatReal(after.target));
        comparison.compare("retries", std::to_string(before.retries), std::to_string(after.retries));
    }

    void diffTerms(const contract& before, const contract& after, std::vector<contract_difference>& differences)
    {
        if (before.organisation != after.organisation) {
            differences.push_back({ contract_change::OrganisationChanged, "", "customer", before.organisation, after.organisation });
        }
        // Exact comparison is right: the same text always parses to the same number.
        if (before.share != after.share) {
            differences.push_back({ contract_change::ShareChanged, "", "share", formatReal(before.share), formatReal(after.share) });
        }
    }

}

std::string toString(const contract_difference& difference)
{
    switch (difference.change) {
    case contract_change::ClassAdded:
        return "class " + difference.requestClass + " added: " + difference.after;
    case contract_change::ClassRemoved:
        return "class " + difference.requestClass + " removed: " + difference.before;
    case contract_change::ClassChanged:
        return "class " + difference.requestClass + " " + difference.key + " " + difference.before + " -> " + difference.after;
    default:
        return difference.key + " " + difference.before + " -> " + difference.after;
    }
}

std::vector<contract_difference> diffContracts(const contract& before, const contract& after)
{
    std::vector<contract_difference> differences;
    diffTerms(before, after, differences);
    for (const auto& old : before.classes) {
        if (!findByName(after, old.name)) {
            differences.push_back({ contract_change::ClassRemoved, old.name, "", summarize(old), "" });
        }
    }
    for (const auto& current : after.classes) {
        const auto* old = findByName(before, current.name);
        if (!old) {
            differences.push_back({ contract_change::ClassAdded, current.name, "", "", summarize(current) });
            continue;
        }
        diffClasses(*old, current, differences);
    }
    return differences;
}

std::string describeConcurrentChange(const stored_contract& base, const stored_contract& current)
{
    std::string listed;
    for (const auto& difference : diffContracts(base.terms, current.terms)) {
        listed += (listed.empty() ? "" : "; ") + toString(difference);
    }
    if (listed.empty()) {
        listed = "its terms are the same";
    }
    return "customer " + current.terms.organisation + " was changed from revision " + std::to_string(base.revision) + " to " + std::to_string(current.revision) + " by somebody else: " + listed + ". Your change was not applied; base it on revision " + std::to_string(current.revision) + " and apply it again";
}

}
