#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace vanillashunt {

// How much a request matters to its organisation; the lesser value is shed first.
// An onward call carries the importance of the request that it is part of.
enum class importance : std::uint8_t {
    Deferrable = 0, // Can wait or be asked again: history reads, stand-alone lookups.
    Interactive = 1, // Somebody waits for it, and nothing is lost by a refusal.
    Confirmed = 2, // Shed last: confirmed replies, orders, dockets.
};

constexpr int importanceCount = 3;

std::string toString(importance);

// Returns nothing for a word that names no importance.
std::optional<importance> parseImportance(const std::string& word);

}
