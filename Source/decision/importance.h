#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace vanillashunt {

// The importance of a request to its organisation; lower values are shed first.
// An onward call inherits the importance of the request that it belongs to.
enum class importance : std::uint8_t {
    Deferrable = 0, // Can wait or be repeated later: history reads, stand-alone lookups.
    Interactive = 1, // A user waits for the answer, but a refusal loses nothing.
    Confirmed = 2, // Shed last: confirmed replies, orders, dockets.
};

constexpr int importanceCount = 3;

std::string toString(importance);

// The inverse of toString; nullopt for any other text.
std::optional<importance> parseImportance(const std::string& name);

}
