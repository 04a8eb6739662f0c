#pragma once

#include <optional>
#include <string>
#include <vector>

namespace vanillashunt {

// Finds what a mistyped word was meant to be; nothing if no candidate is near.
std::optional<std::string> nearestWord(const std::string& word, const std::vector<std::string>& candidates);

}
