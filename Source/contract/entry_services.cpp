#include "contract/entry_services.h"

#include <algorithm>

namespace vanillashunt {

bool entersAt(const contract& terms, const std::string& service)
{
    return std::any_of(terms.classes.begin(), terms.classes.end(), [&](const auto& candidate) { return candidate.service == service; });
}

std::set<std::string> entryServices(const contract& terms)
{
    std::set<std::string> services;
    for (const auto& candidate : terms.classes) {
        services.insert(candidate.service);
    }
    return services;
}

}
