#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace vanillashunt {

struct toml_entry;

// A date or time, which no key of ours takes.
struct toml_time {
};

// One value of a TOML text with the line that it stands on.
struct toml_node {
    using array = std::vector<toml_node>;
    using table = std::vector<toml_entry>;

    std::variant<toml_time, bool, std::int64_t, double, std::string, array, table> value;
    int line = 0;
};

// One key of a table and its value.
struct toml_entry {
    std::string key;
    toml_node node;
};

// Names a value in a message: a short one as it would be written, others by their kind.
std::string describe(const toml_node&);

// Puts a text in quotation marks, escaped as TOML wants it.
std::string quoteToml(const std::string&);

}
