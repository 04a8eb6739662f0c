#pragma once

#include "contract/problem_list.h"
#include "contract/toml_node.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace vanillashunt {

enum class presence : std::uint8_t {
    Required,
    Optional,
};

// A key that a table may contain.
struct toml_key {
    std::string name;
    // A valid value as TOML writes it, which error messages show as an example.
    std::string example;
    presence expectedPresence = presence::Required;
};

// A constraint on a value: a predicate and its description for error messages.
template <typename Value>
struct toml_rule {
    std::function<bool(const Value&)> accepts;
    // Completes the sentence "it has to be", for example with "a number above 0 and at most 1".
    std::string description;
};

// Reads the keys of one table. Each read function returns nothing if the key is missing or has an
// invalid value. It reports an invalid value, and a missing key that is required.
class toml_reader {
public:
    // The context is put before each message, for example "class \"desk-reply\"". The
    // table and the list must outlive the reader.
    toml_reader(const toml_node& table, std::string context, problem_list&);

    std::optional<bool> readBoolean(const toml_key&);
    std::optional<std::int64_t> readInteger(const toml_key&, const toml_rule<std::int64_t>&);
    // Also accepts an integer.
    std::optional<double> readReal(const toml_key&, const toml_rule<double>&);
    std::optional<std::string> readString(const toml_key&, const toml_rule<std::string>&);
    std::optional<std::chrono::milliseconds> readDuration(const toml_key&, const toml_rule<std::chrono::milliseconds>&);
    std::optional<std::uint64_t> readSize(const toml_key&, const toml_rule<std::uint64_t>&);
    // Returns the strings that the rule accepts and reports the others.
    std::vector<std::string> readStrings(const toml_key&, const toml_rule<std::string>&);
    // Returns null if the table is missing or is not a table. The result is part of the table that
    // is read.
    const toml_node* readTable(const toml_key&);
    // Returns the tables of a list. Reports a missing or empty list even if the key is optional.
    std::vector<const toml_node*> readTables(const toml_key&);

    // Reports the keys that no read function was called for. Call it after the last read.
    void reportUnknownKeys();
    // Reports a problem at the line of a key's value, or of the table if the key is missing.
    void report(const toml_key&, const std::string& message);
    void setContext(std::string context) { m_context = std::move(context); }
    const std::string& context() const { return m_context; }

private:
    const toml_node* find(const toml_key&);
    const toml_node* findEntry(const std::string& key) const;
    void reportLine(int line, const std::string& message);
    void reportValue(const toml_key&, const toml_node&, const std::string& description);
    template <typename Value, typename Convert>
    std::optional<Value> read(const toml_key&, const toml_rule<Value>&, Convert);

    const toml_node& m_node;
    std::string m_context;
    problem_list& m_problems;
    std::vector<std::string> m_knownKeys;
};

}
