#include "command/node_answers.h"

#include "operator/operator_client.h"
#include "store/gateway_json.h"

#include <algorithm>
#include <iostream>

namespace vanillashunt {

namespace {

    exit_code codeOf(const operator_error& error, call_effect effect)
    {
        if (error.kind == operator_failure::Refused) {
            return exit_code::Refused;
        }
        bool unknown = error.mayHaveReached() && effect == call_effect::Changes;
        return unknown ? exit_code::Unknown : exit_code::Unreachable;
    }

    std::string describe(const std::string& address, const operator_error& error, call_effect effect)
    {
        if (error.kind == operator_failure::Refused) {
            return address + " refused: " + error.message;
        }
        if (error.kind == operator_failure::NotSent) {
            return "cannot connect to " + address + ": " + error.message + "; see whether the node runs and this is its operator port";
        }
        auto text = "no answer from " + address + ": " + error.message;
        return effect == call_effect::Changes ? text + "; it may have taken effect, see 'vanillashunt status " + address + "'" : text;
    }

    bool mayAnswer(const Json::Value& member)
    {
        auto state = member["state"].asString();
        return state != "left" && state != "dead" && !member["operator"].asString().empty();
    }

    void addNode(const std::string& address, std::vector<std::string>& nodes)
    {
        if (std::find(nodes.begin(), nodes.end(), address) == nodes.end()) {
            nodes.push_back(address);
        }
    }

}

node_answers askNodes(const command& self, const node_options& options, const std::string& method, const Json::Value& parameters, call_effect effect)
{
    auto results = callOperatorPorts(options.nodes, method, parameters, options.timeout);
    node_answers all;
    for (std::size_t index = 0; index < results.size(); ++index) {
        const auto& address = options.nodes[index];
        if (auto* error = std::get_if<operator_error>(&results[index])) {
            reportError(self, describe(address, *error, effect));
            all.code = std::max(all.code, codeOf(*error, effect));
            continue;
        }
        all.answers.push_back({ address, std::move(std::get<Json::Value>(results[index])) });
    }
    return all;
}

exit_code addMembers(const command& self, node_options& options)
{
    if (!options.all) {
        return exit_code::Ok;
    }
    auto dumps = askNodes(self, options, "dump", Json::Value(Json::objectValue));
    options.nodes.clear();
    for (const auto& dump : dumps.answers) {
        addNode(dump.address, options.nodes);
    }
    for (const auto& dump : dumps.answers) {
        for (const auto& member : dump.result["members"]) {
            if (mayAnswer(member)) {
                addNode(member["operator"].asString(), options.nodes);
            }
        }
    }
    return dumps.code;
}

void printJsonLines(const node_answers& all)
{
    for (const auto& answer : all.answers) {
        Json::Value line = answer.result;
        line["asked"] = answer.address;
        std::cout << writeJson(line) << '\n';
    }
}

}
