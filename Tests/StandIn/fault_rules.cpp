#include "StandIn/fault_rules.h"

#include "StandIn/command_line.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    // Reads a string or a list of strings.
    std::vector<std::string> parseWords(const Json::Value& value)
    {
        if (value.isString()) {
            return { value.asString() };
        }
        std::vector<std::string> words;
        for (const auto& each : value) {
            words.push_back(each.asString());
        }
        return words;
    }

    bool contains(const std::vector<std::string>& words, const std::string& word)
    {
        return std::find(words.begin(), words.end(), word) != words.end();
    }

    bool matches(const fault_rule& rule, const std::string& source, const std::string& link, const std::string& zone)
    {
        bool fits = rule.sources.empty();
        for (const auto& prefix : rule.sources) {
            fits = fits || source.compare(0, prefix.size(), prefix) == 0;
        }
        bool isAnyLink = rule.links.empty() && rule.zones.empty();
        return fits && (isAnyLink || contains(rule.links, link) || contains(rule.zones, zone));
    }

    void addEffects(fault_effects& sum, const fault_rule& rule)
    {
        const auto& added = rule.effects;
        sum.isCut = sum.isCut || added.isCut;
        sum.rejects = sum.rejects || added.rejects;
        sum.delay += added.delay;
        sum.answerDelay += added.answerDelay;
        sum.drop = std::max(sum.drop, added.drop);
        sum.swapsAnswers = sum.swapsAnswers || added.swapsAnswers;
        if (added.closeAfterBytes && rule.timesLeft != 0U) {
            sum.closeAfterBytes = added.closeAfterBytes;
            sum.closingRule = rule.id;
        }
    }

}

std::optional<fault_rule> parseFaultRule(const Json::Value& command)
{
    fault_rule rule;
    const auto& where = command["cut"].isObject() ? command["cut"] : command;
    rule.sources = parseWords(where.isMember("from") ? where["from"] : where["from_zone_sources"]);
    rule.links = parseWords(where["to"]);
    rule.zones = parseWords(where["to_zones"]);
    if (command.isMember("times")) {
        rule.timesLeft = command["times"].asUInt64();
    }

    auto& effects = rule.effects;
    effects.isCut = command.isMember("cut") && command["cut"] != false;
    effects.rejects = where["reject"].asBool();
    effects.delay = parseMilliseconds(command.get("delay_ms", 0).asString());
    effects.answerDelay = parseMilliseconds(command.get("hold_answers_ms", 0).asString());
    effects.drop = command.get("drop", 0).asDouble();
    effects.swapsAnswers = command.get("swap_answers", false).asBool();
    if (command.isMember("half_close_after_bytes")) {
        effects.closeAfterBytes = command["half_close_after_bytes"].asUInt64();
    }
    bool hasEffect = effects.isCut || effects.delay.count() > 0 || effects.answerDelay.count() > 0 || effects.drop > 0 || effects.swapsAnswers || effects.closeAfterBytes;
    return hasEffect ? std::optional(rule) : std::nullopt;
}

std::uint64_t fault_rules::add(fault_rule rule)
{
    rule.id = ++m_lastId;
    m_rules.push_back(std::move(rule));
    return m_lastId;
}

void fault_rules::remove(std::uint64_t id)
{
    auto hasId = [id](const fault_rule& rule) { return rule.id == id; };
    m_rules.erase(std::remove_if(m_rules.begin(), m_rules.end(), hasId), m_rules.end());
}

fault_effects fault_rules::effects(const std::string& source, const std::string& link, const std::string& zone) const
{
    fault_effects sum;
    for (const auto& rule : m_rules) {
        if (!matches(rule, source, link, zone)) {
            continue;
        }
        addEffects(sum, rule);
    }
    return sum;
}

bool fault_rules::hasSwap() const
{
    return std::any_of(m_rules.begin(), m_rules.end(), [](const fault_rule& rule) { return rule.effects.swapsAnswers; });
}

void fault_rules::noteClosed(std::uint64_t id)
{
    for (auto& rule : m_rules) {
        if (rule.id != id || !rule.timesLeft || *rule.timesLeft == 0) {
            continue;
        }
        --*rule.timesLeft;
    }
}

}
