#include "contract/quantity.h"

#include <array>
#include <charconv>
#include <limits>

namespace vanillashunt {

namespace {

    struct unit {
        const char* suffix;
        std::uint64_t factor;
    };

    // Both lists are ordered from the largest unit to the smallest, whose factor is 1.
    constexpr std::array<unit, 3> durationUnits { { { "min", 60000 }, { "s", 1000 }, { "ms", 1 } } };
    constexpr std::array<unit, 3> sizeUnits { { { "MiB", 1024UL * 1024 }, { "KiB", 1024 }, { "B", 1 } } };

    constexpr std::size_t maxRealLength = 32;
    constexpr int significantDigits = 6;

    // The count of a duration is signed 64-bit, and a size must not overflow.
    constexpr std::uint64_t maxCount = std::numeric_limits<std::int64_t>::max();

    template <typename Units>
    std::optional<std::uint64_t> parseQuantity(const std::string& text, const Units& units)
    {
        std::uint64_t number = 0;
        const char* end = text.data() + text.size();
        auto [rest, error] = std::from_chars(text.data(), end, number);
        if (error != std::errc()) {
            return std::nullopt;
        }
        std::string suffix(rest, end);
        for (const auto& candidate : units) {
            if (suffix != candidate.suffix) {
                continue;
            }
            if (number > maxCount / candidate.factor) {
                return std::nullopt;
            }
            return number * candidate.factor;
        }
        return std::nullopt;
    }

    template <typename Units>
    std::string formatQuantity(std::uint64_t count, const Units& units)
    {
        for (const auto& candidate : units) {
            if (count >= candidate.factor && count % candidate.factor == 0) {
                return std::to_string(count / candidate.factor) + candidate.suffix;
            }
        }
        return "0" + std::string(units.back().suffix);
    }

}

std::optional<std::chrono::milliseconds> parseDuration(const std::string& text)
{
    auto count = parseQuantity(text, durationUnits);
    if (!count) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(*count);
}

std::string formatDuration(std::chrono::milliseconds duration)
{
    return formatQuantity(static_cast<std::uint64_t>(duration.count()), durationUnits);
}

std::optional<std::uint64_t> parseSize(const std::string& text)
{
    return parseQuantity(text, sizeUnits);
}

std::string formatSize(std::uint64_t bytes)
{
    return formatQuantity(bytes, sizeUnits);
}

std::string formatReal(double number)
{
    std::array<char, maxRealLength> digits {};
    auto [end, error] = std::to_chars(digits.data(), digits.data() + digits.size(), number);
    return std::string(digits.data(), end);
}

std::string formatRounded(double number)
{
    std::array<char, maxRealLength> digits {};
    auto [end, error] = std::to_chars(digits.data(), digits.data() + digits.size(), number, std::chars_format::general, significantDigits);
    return std::string(digits.data(), end);
}

}
