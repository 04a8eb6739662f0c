#include "command/contract_status.h"

#include "command/node_answers.h"
#include "command/revision_line.h"

#include <algorithm>
#include <iostream>

namespace vanillashunt {

namespace {

    constexpr const char* help = R"(usage: vanillashunt contract status REVISION --node IP:PORT ... [--timeout TIME]

Asks the nodes, and every member that they know, whether they have the revision
that 'vanillashunt contract apply' printed. IP:PORT is a node's operator port.

  --node IP:PORT  a node to begin with; may be repeated
  --timeout TIME  longest time to wait for a node, 3s by default

Exit codes: 0 in force at every node, 2 wrong usage, 4 a node does not have it yet,
5 a node did not answer.
)";

    exit_code printStatus(std::int64_t revision, const node_answers& found)
    {
        auto has = [&](const node_answer& answer) { return answer.result["contract_revision"].asInt64() >= revision; };
        auto count = std::count_if(found.answers.begin(), found.answers.end(), has);
        std::cout << "revision " << revision << " is in force at " << count << " of " << found.answers.size() << " nodes that answered\n";
        for (const auto& answer : found.answers) {
            if (has(answer)) {
                continue;
            }
            std::cout << answer.result["name"].asString() << " in " << answer.result["availability_zone"].asString()
                      << " has revision " << answer.result["contract_revision"].asInt64() << '\n';
        }
        bool everywhere = static_cast<std::size_t>(count) == found.answers.size();
        return everywhere ? exit_code::Ok : exit_code::Unknown;
    }

    exit_code run(const command& self, const command_arguments& arguments)
    {
        node_options options;
        auto read = readCommandLine(self, arguments, optionsOf(options));
        if (auto* ended = std::get_if<exit_code>(&read)) {
            return *ended;
        }
        const auto& words = std::get<std::vector<std::string>>(read);
        auto revision = words.size() == 1 ? readRevision(words.front()) : std::nullopt;
        if (!revision || options.nodes.empty()) {
            return reportUsage(self, "name one revision, and a node by --node IP:PORT");
        }
        options.all = true;
        auto code = addMembers(self, options);
        auto found = askNodes(self, options, "status", Json::Value(Json::objectValue));
        return std::max({ code, found.code, printStatus(*revision, found) });
    }

}

command contractStatus()
{
    return { "contract status", "shows where a revision is in force", help, run };
}

}
