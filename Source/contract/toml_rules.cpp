#include "contract/toml_rules.h"

#include "contract/quantity.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    // The maximum length of a DNS label, so that a name can be used as one.
    constexpr std::size_t maxNameLength = 63;
    constexpr std::size_t maxPathLength = 512;

    bool isNameCharacter(char character)
    {
        return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') || character == '-';
    }

    bool isName(const std::string& text)
    {
        return !text.empty() && text.size() <= maxNameLength && std::all_of(text.begin(), text.end(), isNameCharacter);
    }

    // Returns whether the character is allowed in an HTTP path, before a query or fragment.
    bool isPathCharacter(char character)
    {
        return character > ' ' && character < '\x7f' && character != '?' && character != '#';
    }

    bool isPath(const std::string& text)
    {
        return !text.empty() && text.front() == '/' && text.size() <= maxPathLength && std::all_of(text.begin(), text.end(), isPathCharacter);
    }

}

toml_rule<std::int64_t> integerRule(std::int64_t min, std::int64_t max)
{
    auto accepts = [=](std::int64_t value) { return value >= min && value <= max; };
    return { accepts, "an integer from " + std::to_string(min) + " to " + std::to_string(max) };
}

toml_rule<std::chrono::milliseconds> durationRule(std::chrono::milliseconds min, std::chrono::milliseconds max)
{
    auto accepts = [=](std::chrono::milliseconds value) { return value >= min && value <= max; };
    return { accepts, "a duration from " + formatDuration(min) + " to " + formatDuration(max) + ", in whole ms, s or min" };
}

toml_rule<std::uint64_t> sizeRule(std::uint64_t min, std::uint64_t max)
{
    auto accepts = [=](std::uint64_t value) { return value >= min && value <= max; };
    return { accepts, "a size from " + formatSize(min) + " to " + formatSize(max) + ", in whole B, KiB or MiB" };
}

toml_rule<std::string> choiceRule(const std::vector<std::string>& choices)
{
    auto accepts = [choices](const std::string& value) { return std::find(choices.begin(), choices.end(), value) != choices.end(); };
    std::string listed;
    for (const auto& choice : choices) {
        listed += (listed.empty() ? "" : ", ") + quoteToml(choice);
    }
    return { accepts, "one of " + listed };
}

const toml_rule<std::string>& nameRule()
{
    static const toml_rule<std::string> rule { isName, "a name of 1 to " + std::to_string(maxNameLength) + " characters from a-z, 0-9 and \"-\"" };
    return rule;
}

const toml_rule<std::string>& pathRule()
{
    static const toml_rule<std::string> rule { isPath, std::string("a path that begins with \"/\", without spaces, \"?\" or \"#\", of at most ") + std::to_string(maxPathLength) + " characters" };
    return rule;
}

}
