#include "command/status_command.h"

#include "command/node_answers.h"
#include "command/text_table.h"

#include <iostream>

namespace vanillashunt {

namespace {

    constexpr const char* help = R"(usage: vanillashunt status [--node] IP:PORT ... [--all] [--json] [--timeout TIME]

Prints a line for each node: its name, availability zone, service and contract
revision, whether it is draining, and its calls in progress. IP:PORT is a node's
operator port.

  --node IP:PORT  the same as the bare address; may be repeated
  --all           asks every member that these nodes know, too
  --json          prints one JSON object a line
  --timeout TIME  longest time to wait for a node, for example 500ms; 3s by default

Exit codes: 0 every node answered, 2 wrong usage, 3 a node refused, 5 a node did
not answer; the others' lines are printed all the same.
)";

    std::string orDash(const std::string& text)
    {
        return text.empty() ? "-" : text;
    }

    void printTable(const std::vector<node_answer>& answers)
    {
        text_table table({ "NAME", "ZONE", "SERVICE", "OPERATOR", "CONTRACTS", "STATE", "INBOUND", "OUTBOUND" });
        for (const auto& answer : answers) {
            const auto& status = answer.result;
            table.add({ status["name"].asString(), status["availability_zone"].asString(), orDash(status["service"].asString()), answer.address,
                status["contract_revision"].asString(), status["draining"].asBool() ? "draining" : "serving",
                status["in_progress"]["inbound"].asString(), status["in_progress"]["outbound"].asString() });
        }
        std::cout << table.text();
    }

    exit_code run(const command& self, const command_arguments& arguments)
    {
        node_options options;
        if (auto ended = readNodeOptions(self, arguments, options)) {
            return *ended;
        }
        auto code = addMembers(self, options);
        auto found = askNodes(self, options, "status", Json::Value(Json::objectValue));
        if (options.json) {
            printJsonLines(found);
        } else if (!found.answers.empty()) {
            printTable(found.answers);
        }
        return std::max(code, found.code);
    }

}

command statusCommand()
{
    return { "status", "prints a line for each node", help, run };
}

}
