#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace vanillashunt {

struct toml_entry;

// A date or time. Its value is not kept, since no key has this type.
struct toml_time {
};

// A value in a TOML text and its line, counted from 1.
struct toml_node {
    using array = std::vector<toml_node>;
    using table = std::vector<toml_entry>;

    std::variant<toml_time, bool, std::int64_t, double, std::string, array, table> value;
    int line = 0;
};

// A key of a table and its value.
struct toml_entry {
    std::string key;
    toml_node node;
};

// Describes a value in a message: a scalar as TOML writes it, with a long string shortened, and
// other values by their type.
std::string describe(const toml_node&);

// Formats a text as a TOML basic string: in quotation marks and escaped.
std::string quoteToml(const std::string&);

}
