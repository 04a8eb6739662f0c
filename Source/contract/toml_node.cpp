#include "contract/toml_node.h"

#include "contract/quantity.h"

#include <array>
#include <cstdio>

namespace vanillashunt {

namespace {

    // Longer strings are shortened to keep messages readable; in bytes.
    constexpr std::size_t maxDisplayedLength = 80;
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleteCharacter = 0x7f;

    std::string escape(char character)
    {
        if (character == '"' || character == '\\') {
            return { '\\', character };
        }
        auto code = static_cast<unsigned char>(character);
        if (code >= firstPrintable && code != deleteCharacter) {
            return { character };
        }
        std::array<char, 8> escaped {};
        std::snprintf(escaped.data(), escaped.size(), "\\u%04x", code);
        return escaped.data();
    }

    // Does not split a UTF-8 character, whose continuation bytes have the form 10xxxxxx.
    std::string shorten(const std::string& text)
    {
        if (text.size() <= maxDisplayedLength) {
            return text;
        }
        std::size_t end = maxDisplayedLength;
        while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xc0) == 0x80) {
            --end;
        }
        return text.substr(0, end) + "...";
    }

    // Describes each type of value.
    struct describer {
        std::string operator()(const toml_time&) const { return "a date or time"; }
        std::string operator()(bool value) const { return value ? "true" : "false"; }
        std::string operator()(std::int64_t value) const { return std::to_string(value); }
        std::string operator()(double value) const { return formatReal(value); }
        std::string operator()(const std::string& value) const { return quoteToml(shorten(value)); }
        std::string operator()(const toml_node::array&) const { return "an array"; }
        std::string operator()(const toml_node::table&) const { return "a table"; }
    };

}

std::string describe(const toml_node& node)
{
    return std::visit(describer {}, node.value);
}

std::string quoteToml(const std::string& text)
{
    std::string quoted = "\"";
    for (char character : text) {
        quoted += escape(character);
    }
    return quoted + '"';
}

}
