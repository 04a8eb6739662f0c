#include "command/explain_command.h"

#include "command/node_answers.h"
#include "command/text_table.h"

#include <iostream>

namespace vanillashunt {

namespace {

    constexpr const char* help = R"(usage: vanillashunt explain REQUEST_ID --node IP:PORT ... [--all] [--json] [--timeout TIME]

Prints what nodes decided on the request REQUEST_ID, the value of the field
Vanillashunt-Request-Id: refusals, attempts, retries and the answer, each with
its reason and its age. A node remembers its latest decisions only.

  --node IP:PORT  a node's operator port; may be repeated
  --all           asks every member that these nodes know, too
  --json          prints one JSON object a line
  --timeout TIME  longest time to wait for a node, for example 500ms; 3s by default

Exit codes: 0 the request is found, 2 wrong usage, 3 a node refused, 4 no node
remembers it, 5 a node did not answer.
)";

    bool isRemembered(const node_answer& answer)
    {
        return !answer.result["decisions"].empty();
    }

    void printTable(const std::vector<node_answer>& answers)
    {
        text_table table({ "NODE", "AGE_MS", "DECISION", "REASON", "DETAIL" });
        for (const auto& answer : answers) {
            for (const auto& decision : answer.result["decisions"]) {
                table.add({ answer.result["name"].asString(), decision["age_ms"].asString(), decision["decision"].asString(),
                    decision["reason"].asString(), decision["detail"].asString() });
            }
        }
        std::cout << table.text();
    }

    void print(const node_answers& found, bool json)
    {
        if (json) {
            printJsonLines(found);
            return;
        }
        printTable(found.answers);
    }

    exit_code run(const command& self, const command_arguments& arguments)
    {
        node_options options;
        auto read = readSubjectAndNodes(self, arguments, "name a request by its id", options);
        if (auto* ended = std::get_if<exit_code>(&read)) {
            return *ended;
        }
        const auto& subject = std::get<std::string>(read);
        auto code = addMembers(self, options);
        Json::Value parameters;
        parameters["request_id"] = subject;
        auto found = askNodes(self, options, "explain", parameters);
        code = std::max(code, found.code);
        auto& answers = found.answers;
        answers.erase(std::remove_if(answers.begin(), answers.end(), [](const node_answer& answer) { return !isRemembered(answer); }), answers.end());
        if (!answers.empty()) {
            print(found, options.json);
            return code;
        }
        if (code == exit_code::Ok) {
            reportError(self, "no node asked remembers request '" + subject + "'; ask the node that it entered at, or all with --all");
        }
        return std::max(code, exit_code::Unknown);
    }

}

command explainCommand()
{
    return { "explain", "tells what nodes decided on a request", help, run };
}

}
