#include "command/quota_command.h"

#include "command/command_line.h"
#include "command/node_answers.h"
#include "command/text_table.h"

#include <algorithm>
#include <iostream>

namespace vanillashunt {

namespace {

    constexpr const char* help = R"(usage: vanillashunt quota ORGANISATION --node IP:PORT ... [--all] [--json] [--timeout TIME]

Prints an organisation's limit, how many of its requests each node has let
through in the last five seconds, how many wait there, and, at the nodes that
keep the pool of an availability zone, how many more may come at once. The last
line has the sums: with --all, those of the fleet.

  --node IP:PORT  a node's operator port; may be repeated
  --all           asks every member that these nodes know, too
  --json          prints one JSON object a line
  --timeout TIME  longest time to wait for a node, for example 500ms; 3s by default

Exit codes: 0 a node knows the organisation, 2 wrong usage, 3 a node refused,
4 no node knows it, 5 a node did not answer.
)";

    void printTable(const std::vector<node_answer>& answers)
    {
        text_table table({ "NODE", "RATE_PER_S", "BURST", "ADMITTED_5S", "WAITING", "POOL" });
        std::uint64_t admitted = 0;
        std::uint64_t waiting = 0;
        std::uint64_t pool = 0;
        for (const auto& answer : answers) {
            const auto& standing = answer.result;
            admitted += standing["admitted"].asUInt64();
            waiting += standing["waiting"].asUInt64();
            pool += standing["pool"].asUInt64();
            table.add({ standing["name"].asString(), standing["rate_per_s"].asString(), standing["burst"].asString(),
                standing["admitted"].asString(), standing["waiting"].asString(), standing["pool"].isNull() ? "-" : standing["pool"].asString() });
        }
        table.add({ "all", "", "", std::to_string(admitted), std::to_string(waiting), std::to_string(pool) });
        std::cout << table.text();
    }

    exit_code run(const command& self, const command_arguments& arguments)
    {
        node_options options;
        auto read = readSubjectAndNodes(self, arguments, "name an organisation", options);
        if (auto* ended = std::get_if<exit_code>(&read)) {
            return *ended;
        }
        const auto& subject = std::get<std::string>(read);
        auto code = addMembers(self, options);
        Json::Value parameters;
        parameters["organisation"] = subject;
        auto found = askNodes(self, options, "quota", parameters);
        code = std::max(code, found.code);
        auto& answers = found.answers;
        auto isUnknown = [](const node_answer& answer) { return !answer.result["known"].asBool(); };
        answers.erase(std::remove_if(answers.begin(), answers.end(), isUnknown), answers.end());
        if (answers.empty()) {
            reportError(self, "no node asked has a limit for organisation '" + subject + "'; see its name in the operator's configuration");
            return std::max(code, exit_code::Unknown);
        }
        if (options.json) {
            printJsonLines(found);
        } else {
            printTable(answers);
        }
        return code;
    }

}

command quotaCommand()
{
    return { "quota", "tells how much of its limit an organisation has had", help, run };
}

}
