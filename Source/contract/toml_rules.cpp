#include "contract/toml_rules.h"

#include "contract/quantity.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    // The length of a DNS label, so that a name may become one.
    constexpr std::size_t longestName = 63;
    constexpr std::size_t longestPath = 512;

    bool isNameCharacter(char character)
    {
        return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') || character == '-';
    }

    bool isName(const std::string& text)
    {
        return !text.empty() && text.size() <= longestName && std::all_of(text.begin(), text.end(), isNameCharacter);
    }

    // What may stand in a path of HTTP, before a query or fragment.
    bool isPathCharacter(char character)
    {
        return character > ' ' && character < '\x7f' && character != '?' && character != '#';
    }

    bool isPath(const std::string& text)
    {
        return !text.empty() && text.front() == '/' && text.size() <= longestPath && std::all_of(text.begin(), text.end(), isPathCharacter);
    }

}

toml_rule<std::int64_t> integerRule(std::int64_t least, std::int64_t most)
{
    auto accepts = [=](std::int64_t value) { return value >= least && value <= most; };
    return { accepts, "an integer from " + std::to_string(least) + " to " + std::to_string(most) };
}

toml_rule<std::chrono::milliseconds> durationRule(std::chrono::milliseconds least, std::chrono::milliseconds most)
{
    auto accepts = [=](std::chrono::milliseconds value) { return value >= least && value <= most; };
    return { accepts, "a duration from " + formatDuration(least) + " to " + formatDuration(most) + ", in whole ms, s or min" };
}

toml_rule<std::uint64_t> sizeRule(std::uint64_t least, std::uint64_t most)
{
    auto accepts = [=](std::uint64_t value) { return value >= least && value <= most; };
    return { accepts, "a size from " + formatSize(least) + " to " + formatSize(most) + ", in whole B, KiB or MiB" };
}

toml_rule<std::string> wordRule(const std::vector<std::string>& words)
{
    auto accepts = [words](const std::string& value) { return std::find(words.begin(), words.end(), value) != words.end(); };
    std::string listed;
    for (const auto& word : words) {
        listed += (listed.empty() ? "" : ", ") + quoteToml(word);
    }
    return { accepts, "one of " + listed };
}

const toml_rule<std::string>& nameRule()
{
    static const toml_rule<std::string> rule { isName, "a name of 1 to " + std::to_string(longestName) + " of a-z, 0-9 and \"-\"" };
    return rule;
}

const toml_rule<std::string>& pathRule()
{
    static const toml_rule<std::string> rule { isPath, std::string("a path that begins with \"/\", without spaces, \"?\" or \"#\", of at most ") + std::to_string(longestPath) + " characters" };
    return rule;
}

}
