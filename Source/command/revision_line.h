#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace vanillashunt {

// The first line of a file that 'contract get' writes: a comment that names the
// revision of the contract, so that 'contract apply' knows what was changed.

std::string withRevisionLine(const std::string& text, std::int64_t revision);

// The contract's text without such a line.
std::string withoutRevisionLine(const std::string& text);

// Returns nothing for a text without such a line.
std::optional<std::int64_t> revisionLineOf(const std::string& text);

// Returns nothing for a text that is no revision.
std::optional<std::int64_t> readRevision(const std::string& text);

}
