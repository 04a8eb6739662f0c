#pragma once

#include <optional>
#include <string>

namespace vanillashunt {

// How much of the overload control a gate does.
enum class admission_policy {
    None, // Lets everything through: a baseline to measure against.
    Hop, // A fixed limit and a bounded first-in-first-out queue: the other baseline.
    Full, // Adaptive limit, order by importance, organisations' shares and a moving cut.
};

// Returns nothing for a word that names no policy.
std::optional<admission_policy> parseAdmissionPolicy(const std::string& word);

}
