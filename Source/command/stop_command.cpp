#include "command/stop_command.h"

#include "command/node_answers.h"

#include <iostream>

namespace vanillashunt {

namespace {

    constexpr const char* stopHelp = R"(usage: vanillashunt stop announce|withdraw --node IP:PORT ...

  announce   nodes take no new work and finish what they have
  withdraw   takes an announced stop back

'vanillashunt stop announce --help' tells more.
)";

    constexpr const char* announceHelp = R"(usage: vanillashunt stop announce --node IP:PORT ... [--json] [--timeout TIME]

Announces a planned stop: the nodes take no new work, and others send them none,
while they finish what they have. They go on running; end them by SIGTERM, or
take the stop back by 'vanillashunt stop withdraw'.

  --node IP:PORT  a node's operator port; may be repeated
  --json          prints one JSON object a line
  --timeout TIME  longest time to wait for a node, for example 500ms; 3s by default

Exit codes: 0 announced, 2 wrong usage, 3 a node refused, 4 it is not known
whether a node has it, 5 a node cannot be reached. Announcing again is harmless.
)";

    constexpr const char* withdrawHelp = R"(usage: vanillashunt stop withdraw --node IP:PORT ... [--json] [--timeout TIME]

Takes an announced stop back: the nodes take new work again.

  --node IP:PORT  a node's operator port; may be repeated
  --json          prints one JSON object a line
  --timeout TIME  longest time to wait for a node, for example 500ms; 3s by default

Exit codes: 0 withdrawn, 2 wrong usage, 3 a node refused, 4 it is not known
whether a node has it, 5 a node cannot be reached. Withdrawing again is harmless.
)";

    exit_code callEach(const command& self, const command_arguments& arguments, const char* method, const char* done)
    {
        node_options options;
        auto read = readCommandLine(self, arguments, optionsOf(options));
        if (auto* ended = std::get_if<exit_code>(&read)) {
            return *ended;
        }
        if (auto problem = takeNodes(self, std::get<std::vector<std::string>>(read), options)) {
            return *problem;
        }
        auto found = askNodes(self, options, method, Json::Value(Json::objectValue), call_effect::Changes);
        if (options.json) {
            printJsonLines(found);
            return found.code;
        }
        for (const auto& answer : found.answers) {
            std::cout << answer.address << ' ' << done << '\n';
        }
        return found.code;
    }

    exit_code announce(const command& self, const command_arguments& arguments)
    {
        return callEach(self, arguments, "announce_stop", "takes no new work");
    }

    exit_code withdraw(const command& self, const command_arguments& arguments)
    {
        return callEach(self, arguments, "withdraw_stop", "takes new work");
    }

    exit_code run(const command& self, const command_arguments& arguments)
    {
        return runNamedCommand(self,
            {
                { "stop announce", "", announceHelp, announce },
                { "stop withdraw", "", withdrawHelp, withdraw },
            },
            arguments);
    }

}

command stopCommand()
{
    return { "stop", "announces a planned stop or takes it back", stopHelp, run };
}

}
