#include "contract/parse_toml.h"

#include "contract/toml_error_text.h"
#include "contract/toml_guard.h"

#include <toml.hpp>

#include <algorithm>
#include <map>
#include <sstream>
#include <vector>

namespace vanillashunt {

namespace {

    // Tables are std::map, so that the same text always gives the same messages in the same order.
    using toml_value = toml::basic_value<toml::discard_comments, std::map, std::vector>;

    int lineOf(const toml_value& value)
    {
        return static_cast<int>(value.location().line());
    }

    toml_node convert(const toml_value&);

    toml_node::array convertArray(const toml_value& value)
    {
        toml_node::array items;
        for (const auto& item : value.as_array()) {
            items.push_back(convert(item));
        }
        return items;
    }

    toml_node::table convertTable(const toml_value& value)
    {
        toml_node::table entries;
        for (const auto& [key, item] : value.as_table()) {
            entries.push_back({ key, convert(item) });
        }
        return entries;
    }

    toml_node convert(const toml_value& value)
    {
        toml_node node;
        node.line = lineOf(value);
        switch (value.type()) {
        case toml::value_t::boolean:
            node.value = value.as_boolean();
            break;
        case toml::value_t::integer:
            node.value = static_cast<std::int64_t>(value.as_integer());
            break;
        case toml::value_t::floating:
            node.value = value.as_floating();
            break;
        case toml::value_t::string:
            node.value = value.as_string().str;
            break;
        case toml::value_t::array:
            node.value = convertArray(value);
            break;
        case toml::value_t::table:
            node.value = convertTable(value);
            break;
        default:
            node.value = toml_time {};
        }
        return node;
    }

    const std::string syntaxErrorPrefix = "this is not TOML: ";

    // The library appends a newline to the text and may report an error after it. Such an error
    // is moved to the end of the text.
    void clampToText(text_problem& problem, const std::string& text)
    {
        int lastLine = 1 + static_cast<int>(std::count(text.begin(), text.end(), '\n'));
        if (problem.line <= lastLine) {
            return;
        }
        auto lineEnd = text.rfind('\n');
        auto lastLineStart = lineEnd == std::string::npos ? 0 : lineEnd + 1;
        problem.line = lastLine;
        problem.column = static_cast<int>(text.size() - lastLineStart) + 1;
    }

}

parse_toml_result parseToml(const std::string& text, const std::string& fileName)
{
    if (auto unsafe = findUnsafeToml(text, fileName)) {
        return *unsafe;
    }
    try {
        std::istringstream stream(text);
        return convert(toml::parse<toml::discard_comments, std::map, std::vector>(stream, fileName));
    } catch (const toml::exception& error) {
        const auto& errorLocation = error.location();
        auto problem = readTomlErrorText(error.what(), { fileName, static_cast<int>(errorLocation.line()), "", static_cast<int>(errorLocation.column()) });
        problem.message.insert(0, syntaxErrorPrefix);
        clampToText(problem, text);
        return problem;
    } catch (const std::exception& error) {
        return text_problem { fileName, 0, syntaxErrorPrefix + error.what() };
    }
}

}
