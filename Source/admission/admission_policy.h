#pragma once

#include <optional>
#include <string>

namespace vanillashunt {

// Which overload control a gate applies.
enum class admission_policy {
    None, // Admits everything: a baseline for comparison.
    Hop, // A fixed limit and a bounded first-in-first-out queue at each hop: the other baseline.
    Full, // An adaptive limit, order by importance, shares of organisations and an adaptive cut.
};

// Returns nothing if the text names no policy.
std::optional<admission_policy> parseAdmissionPolicy(const std::string& name);

}
