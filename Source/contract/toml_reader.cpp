#include "contract/toml_reader.h"

#include "contract/nearest_word.h"
#include "contract/quantity.h"

#include <algorithm>
#include <utility>

namespace vanillashunt {

namespace {

    template <typename Value>
    std::optional<Value> convertTo(const toml_node& node)
    {
        const auto* value = std::get_if<Value>(&node.value);
        return value ? std::optional<Value>(*value) : std::nullopt;
    }

    std::optional<double> convertToReal(const toml_node& node)
    {
        if (const auto* integer = std::get_if<std::int64_t>(&node.value)) {
            return static_cast<double>(*integer);
        }
        return convertTo<double>(node);
    }

    std::optional<std::chrono::milliseconds> convertToDuration(const toml_node& node)
    {
        const auto* text = std::get_if<std::string>(&node.value);
        return text ? parseDuration(*text) : std::nullopt;
    }

    std::optional<std::uint64_t> convertToSize(const toml_node& node)
    {
        const auto* text = std::get_if<std::string>(&node.value);
        return text ? parseSize(*text) : std::nullopt;
    }

    std::string joinQuoted(const std::vector<std::string>& texts)
    {
        std::string joined;
        for (const auto& text : texts) {
            joined += (joined.empty() ? "" : ", ") + quoteToml(text);
        }
        return joined;
    }

}

toml_reader::toml_reader(const toml_node& table, std::string context, problem_list& problems)
    : m_node(table)
    , m_context(std::move(context))
    , m_problems(problems)
{
}

template <typename Value, typename Convert>
std::optional<Value> toml_reader::read(const toml_key& key, const toml_rule<Value>& rule, Convert convert)
{
    const auto* node = find(key);
    if (!node) {
        return std::nullopt;
    }
    std::optional<Value> value = convert(*node);
    if (value && rule.accepts(*value)) {
        return value;
    }
    reportValue(key, *node, rule.description);
    return std::nullopt;
}

std::optional<bool> toml_reader::readBoolean(const toml_key& key)
{
    static const toml_rule<bool> anyBoolean { [](bool) { return true; }, "true or false" };
    return read(key, anyBoolean, convertTo<bool>);
}

std::optional<std::int64_t> toml_reader::readInteger(const toml_key& key, const toml_rule<std::int64_t>& rule)
{
    return read(key, rule, convertTo<std::int64_t>);
}

std::optional<double> toml_reader::readReal(const toml_key& key, const toml_rule<double>& rule)
{
    return read(key, rule, convertToReal);
}

std::optional<std::string> toml_reader::readString(const toml_key& key, const toml_rule<std::string>& rule)
{
    return read(key, rule, convertTo<std::string>);
}

std::optional<std::chrono::milliseconds> toml_reader::readDuration(const toml_key& key, const toml_rule<std::chrono::milliseconds>& rule)
{
    return read(key, rule, convertToDuration);
}

std::optional<std::uint64_t> toml_reader::readSize(const toml_key& key, const toml_rule<std::uint64_t>& rule)
{
    return read(key, rule, convertToSize);
}

std::vector<std::string> toml_reader::readStrings(const toml_key& key, const toml_rule<std::string>& rule)
{
    const auto* node = find(key);
    if (!node) {
        return {};
    }
    const auto* items = std::get_if<toml_node::array>(&node->value);
    if (!items) {
        reportValue(key, *node, "an array, each item " + rule.description);
        return {};
    }
    std::vector<std::string> accepted;
    for (const auto& item : *items) {
        auto text = convertTo<std::string>(item);
        if (text && rule.accepts(*text)) {
            accepted.push_back(*text);
            continue;
        }
        reportLine(item.line, key.name + " holds " + describe(item) + ", but each item has to be " + rule.description + "; write for example " + key.name + " = " + key.example);
    }
    return accepted;
}

const toml_node* toml_reader::readTable(const toml_key& key)
{
    const auto* node = find(key);
    if (!node || std::holds_alternative<toml_node::table>(node->value)) {
        return node;
    }
    reportLine(node->line, key.name + " is " + describe(*node) + ", but has to be a table; begin it with a line [" + key.name + "]");
    return nullptr;
}

std::vector<const toml_node*> toml_reader::readTables(const toml_key& key)
{
    m_knownKeys.push_back(key.name);
    const auto* node = findEntry(key.name);
    const std::string hint = ", but has to be a list of tables; begin each with a line [[" + key.name + "]]";
    const auto* items = node ? std::get_if<toml_node::array>(&node->value) : nullptr;
    if (node && !items) {
        reportLine(node->line, key.name + " is " + describe(*node) + hint);
        return {};
    }
    if (!items || items->empty()) {
        report(key, "there is no " + key.name + "; begin one with a line [[" + key.name + "]]");
        return {};
    }
    std::vector<const toml_node*> tables;
    for (const auto& item : *items) {
        if (std::holds_alternative<toml_node::table>(item.value)) {
            tables.push_back(&item);
            continue;
        }
        reportLine(item.line, key.name + " holds " + describe(item) + hint);
    }
    return tables;
}

void toml_reader::reportUnknownKeys()
{
    for (const auto& entry : std::get<toml_node::table>(m_node.value)) {
        if (std::find(m_knownKeys.begin(), m_knownKeys.end(), entry.key) != m_knownKeys.end()) {
            continue;
        }
        auto nearest = nearestWord(entry.key, m_knownKeys);
        std::string hint = nearest ? "did you mean " + quoteToml(*nearest) + "?" : "known keys are " + joinQuoted(m_knownKeys);
        reportLine(entry.node.line, "unknown key " + describe({ entry.key }) + "; " + hint);
    }
}

void toml_reader::report(const toml_key& key, const std::string& message)
{
    const auto* node = findEntry(key.name);
    reportLine(node ? node->line : m_node.line, message);
}

const toml_node* toml_reader::find(const toml_key& key)
{
    m_knownKeys.push_back(key.name);
    const auto* node = findEntry(key.name);
    if (!node && key.expectedPresence == presence::Required) {
        reportLine(m_node.line, key.name + " is missing; add it, for example " + key.name + " = " + key.example);
    }
    return node;
}

const toml_node* toml_reader::findEntry(const std::string& key) const
{
    for (const auto& entry : std::get<toml_node::table>(m_node.value)) {
        if (entry.key == key) {
            return &entry.node;
        }
    }
    return nullptr;
}

void toml_reader::reportLine(int line, const std::string& message)
{
    m_problems.add(line, m_context.empty() ? message : m_context + ": " + message);
}

void toml_reader::reportValue(const toml_key& key, const toml_node& node, const std::string& description)
{
    reportLine(node.line, key.name + " is " + describe(node) + ", but has to be " + description + "; write for example " + key.name + " = " + key.example);
}

}
