#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace vanillashunt {

// Parses an integer with the unit ms, s or min, for example "250ms". Returns nothing for any other
// text or a number that is too large.
std::optional<std::chrono::milliseconds> parseDuration(const std::string&);

// Formats a duration in the largest unit that needs no fraction. parseDuration returns the same
// duration again.
std::string formatDuration(std::chrono::milliseconds);

// Parses an integer with the unit B, KiB or MiB, for example "64KiB", into bytes. Returns nothing
// for any other text or a number that is too large.
std::optional<std::uint64_t> parseSize(const std::string&);

// Formats a size in the largest unit that needs no fraction. parseSize returns the same size again.
std::string formatSize(std::uint64_t bytes);

// Formats a number with the fewest digits that parse to the same number.
std::string formatReal(double);

// Formats a computed number with at most six significant digits.
std::string formatRounded(double);

}
