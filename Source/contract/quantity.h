#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace vanillashunt {

// Reads a whole number with the unit ms, s or min, for example "250ms"; nothing for any other text.
std::optional<std::chrono::milliseconds> parseDuration(const std::string&);

// Writes the largest unit that needs no fraction, so that parseDuration reads the same back.
std::string formatDuration(std::chrono::milliseconds);

// Reads a whole number with the unit B, KiB or MiB, for example "64KiB"; nothing for any other text.
std::optional<std::uint64_t> parseSize(const std::string&);

// Writes the largest unit that needs no fraction, so that parseSize reads the same back.
std::string formatSize(std::uint64_t bytes);

// Writes the fewest digits that name the same number.
std::string formatReal(double);

// Writes at most six significant digits, for a computed number.
std::string formatRounded(double);

}
