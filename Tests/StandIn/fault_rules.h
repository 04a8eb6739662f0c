#pragma once

#include <json/json.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace vanillashunt {

// What is done to the traffic between one source and one link.
struct fault_effects {
    // Nothing passes. What TCP has under way goes on when the cut ends.
    bool isCut = false;
    // A cut resets TCP connections rather than leaving them without a word.
    bool rejects = false;
    // Delay of everything, one way.
    std::chrono::microseconds delay { 0 };
    // Further delay of what comes back.
    std::chrono::microseconds answerDelay { 0 };
    // Probability that a datagram is lost.
    double drop = 0;
    // Bytes of answers after which a TCP connection is closed.
    std::optional<std::uint64_t> closeAfterBytes;
    // The rule that closes it.
    std::uint64_t closingRule = 0;
    // Answers of two TCP connections change places.
    bool swapsAnswers = false;
};

// Faults for the traffic from some sources to some links.
struct fault_rule {
    std::uint64_t id = 0;
    // Prefixes of source addresses; any source where there are none.
    std::vector<std::string> sources;
    // Names of links, and zones of links; any link where there are neither.
    std::vector<std::string> links;
    std::vector<std::string> zones;
    // How often the rule may still close a connection; no bound where it is not set.
    std::optional<std::uint64_t> timesLeft;
    fault_effects effects;
};

// Reads one control command; nothing where it names no fault.
std::optional<fault_rule> parseFaultRule(const Json::Value&);

// The rules in force, each with an id by which it is removed.
class fault_rules {
public:
    std::uint64_t add(fault_rule);
    void remove(std::uint64_t id);
    void clear() { m_rules.clear(); }

    // Every matching rule's effects together: delays add up.
    fault_effects effects(const std::string& source, const std::string& link, const std::string& zone) const;

    // Whether any rule swaps answers.
    bool hasSwap() const;

    // Notes that a rule has closed a connection.
    void noteClosed(std::uint64_t id);

private:
    std::vector<fault_rule> m_rules;
    std::uint64_t m_lastId = 0;
};

}
