#pragma once

#include <optional>
#include <string>
#include <vector>

namespace vanillashunt {

// Returns the candidate that is most similar to a mistyped word, or nothing if none is
// similar enough.
std::optional<std::string> nearestWord(const std::string& word, const std::vector<std::string>& candidates);

}
