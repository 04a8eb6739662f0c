#include "command/dump_command.h"

#include "command/node_answers.h"

namespace vanillashunt {

namespace {

    constexpr const char* help = R"(usage: vanillashunt dump [--node] IP:PORT ... [--all] [--timeout TIME]

Prints the whole state of each node, one JSON object a line: identity, settings,
members, contracts and calls in progress. IP:PORT is a node's operator port.

  --node IP:PORT  the same as the bare address; may be repeated
  --all           asks every member that these nodes know, too
  --timeout TIME  longest time to wait for a node, for example 500ms; 3s by default
  --json          changes nothing: a dump is always JSON

Exit codes: 0 every node answered, 2 wrong usage, 3 a node refused, 5 a node did
not answer; the others' dumps are printed all the same.
)";

    exit_code run(const command& self, const command_arguments& arguments)
    {
        node_options options;
        if (auto ended = readNodeOptions(self, arguments, options)) {
            return *ended;
        }
        auto code = addMembers(self, options);
        auto dumps = askNodes(self, options, "dump", Json::Value(Json::objectValue));
        printJsonLines(dumps);
        return std::max(code, dumps.code);
    }

}

command dumpCommand()
{
    return { "dump", "prints the whole state of nodes", help, run };
}

}
