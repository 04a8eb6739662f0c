#include "contract/nearest_word.h"

#include <algorithm>
#include <numeric>

namespace vanillashunt {

namespace {

    // The largest share of a word that may be mistyped.
    constexpr std::size_t lettersPerTypingError = 3;
    // No candidate is longer, and the distance to a longer word would cost time for nothing.
    constexpr std::size_t longestWord = 64;

    // The Levenshtein distance: single letters to insert, delete or replace.
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
    if (word.size() > longestWord) {
        return std::nullopt;
    }
    std::optional<std::string> nearest;
    std::size_t least = std::max<std::size_t>(1, word.size() / lettersPerTypingError) + 1;
    for (const auto& candidate : candidates) {
        auto distance = editDistance(word, candidate);
        if (distance >= least) {
            continue;
        }
        least = distance;
        nearest = candidate;
    }
    return nearest;
}

}
