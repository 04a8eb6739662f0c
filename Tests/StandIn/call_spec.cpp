#include "StandIn/call_spec.h"

#include "StandIn/command_line.h"

#include <stdexcept>

namespace vanillashunt {

std::vector<call_spec> parseCalls(const std::string& text)
{
    std::vector<call_spec> calls;
    for (const auto& each : split(text, ',')) {
        auto parts = split(each, ':');
        if (parts.size() < 2) {
            throw std::invalid_argument("\"" + each + "\" is no call; write service:/path:METHOD:label");
        }
        call_spec call;
        call.service = parts[0];
        call.path = parts[1];
        if (parts.size() > 2) {
            call.method = parts[2];
        }
        call.label = parts.size() > 3 ? parts[3] : call.service;
        calls.push_back(call);
    }
    return calls;
}

call_rule parseCallRule(const std::string& text)
{
    auto equals = text.find('=');
    if (equals == std::string::npos) {
        throw std::invalid_argument("\"" + text + "\" is no rule; write PREFIX=service:/path:METHOD,…");
    }
    return { text.substr(0, equals), parseCalls(text.substr(equals + 1)) };
}

std::vector<call_spec> callsFor(const std::vector<call_rule>& rules, const std::string& path)
{
    const call_rule* best = nullptr;
    for (const auto& rule : rules) {
        if (path.compare(0, rule.pathPrefix.size(), rule.pathPrefix) != 0) {
            continue;
        }
        if (!best || best->pathPrefix.size() < rule.pathPrefix.size()) {
            best = &rule;
        }
    }
    return best ? best->calls : std::vector<call_spec> {};
}

}
