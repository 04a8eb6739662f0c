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

// A key that a table may hold.
struct toml_key {
    std::string name;
    // A value that is allowed, as TOML writes it; shown as the mend.
    std::string example;
    presence need = presence::Required;
};

// What a value has to be, as a test and in words.
template <typename Value>
struct toml_rule {
    std::function<bool(const Value&)> accepts;
    // Continues "it has to be", for example "a number above 0 and at most 1".
    std::string words;
};

// Reads the keys of one table. Each read gives nothing where the key is absent or
// wrong, and reports whichever of these is a problem.
class toml_reader {
public:
    // The place goes before each message, for example "class \"desk-reply\"". The
    // table and the list outlive the reader.
    toml_reader(const toml_node& table, std::string place, problem_list&);

    std::optional<bool> readBoolean(const toml_key&);
    std::optional<std::int64_t> readInteger(const toml_key&, const toml_rule<std::int64_t>&);
    // An integer is taken as a real number too.
    std::optional<double> readReal(const toml_key&, const toml_rule<double>&);
    std::optional<std::string> readString(const toml_key&, const toml_rule<std::string>&);
    std::optional<std::chrono::milliseconds> readDuration(const toml_key&, const toml_rule<std::chrono::milliseconds>&);
    std::optional<std::uint64_t> readSize(const toml_key&, const toml_rule<std::uint64_t>&);
    // Gives the strings that the rule accepts.
    std::vector<std::string> readStrings(const toml_key&, const toml_rule<std::string>&);
    // Returns null for a table that is not there.
    const toml_node* readTable(const toml_key&);
    // Reports an absent or empty list, whatever the need of the key.
    std::vector<const toml_node*> readTables(const toml_key&);

    // To be called after the last read: reports the keys that none asked for.
    void reportUnknownKeys();
    // Reports a problem with a key's value, or with the table where the key is absent.
    void report(const toml_key&, const std::string& message);
    void setPlace(std::string place) { m_place = std::move(place); }
    const std::string& place() const { return m_place; }

private:
    const toml_node* find(const toml_key&);
    const toml_node* findEntry(const std::string& key) const;
    void reportLine(int line, const std::string& message);
    void reportValue(const toml_key&, const toml_node&, const std::string& words);
    template <typename Value, typename Convert>
    std::optional<Value> read(const toml_key&, const toml_rule<Value>&, Convert);

    const toml_node& m_node;
    std::string m_place;
    problem_list& m_problems;
    std::vector<std::string> m_knownKeys;
};

}
