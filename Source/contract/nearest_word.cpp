#include "contract/nearest_word.h"

#include <algorithm>
#include <numeric>

namespace vanillashunt {

namespace {

    // A candidate matches if it differs by at most one edit for this many characters of the word;
    // one edit is always allowed.
    constexpr std::size_t charactersPerTypo = 3;
    // No candidate is longer than this. Computing the distance to a longer word would only cost time.
    constexpr std::size_t maxWordLength = 64;

    // Returns the Levenshtein distance: the number of characters to insert, delete or replace.
    std::size_t editDistance(const std::string& from, const std::string& to)
    {
        std::vector<std::size_t> row(to.size() + 1);
        std::iota(row.begin(), row.end(), 0);
        for (std::size_t i = 0; i < from.size(); ++i) {
            std::size_t diagonal = row[0];
            row[0] = i + 1;
            for (std::size_t j = 0; j < to.size(); ++j) {
                std::size_t replaced = diagonal + (from[i] == to[j] ? 0 : 1);
                diagonal = row[j + 1];
                row[j + 1] = std::min({ replaced, row[j] + 1, row[j + 1] + 1 });
            }
        }
        return row.back();
    }

}

std::optional<std::string> nearestWord(const std::string& word, const std::vector<std::string>& candidates)
{
    if (word.size() > maxWordLength) {
        return std::nullopt;
    }
    std::optional<std::string> nearest;
    std::size_t bestDistance = std::max<std::size_t>(1, word.size() / charactersPerTypo) + 1;
    for (const auto& candidate : candidates) {
        auto distance = editDistance(word, candidate);
        if (distance >= bestDistance) {
            continue;
        }
        bestDistance = distance;
        nearest = candidate;
    }
    return nearest;
}

}
