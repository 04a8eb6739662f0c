#include "Harness/command_run.h"

#include "Harness/child_process.h"

namespace vanillashunt {

namespace {

    // The shell only directs the outputs.
    command_run run(const std::string& redirection, const std::vector<std::string>& words)
    {
        std::vector<std::string> command { "/bin/sh", "-c", "exec \"$0\" \"$@\" " + redirection, VANILLASHUNT_PATH };
        command.insert(command.end(), words.begin(), words.end());
        child_process process(command);
        command_run result;
        for (auto line = process.readLine(std::chrono::seconds(60)); auto* text = std::get_if<std::string>(&line); line = process.readLine(std::chrono::seconds(60))) {
            result.text += *text + '\n';
        }
        auto end = process.wait();
        result.exitCode = end ? end->exitCode.value_or(-1) : -1;
        return result;
    }

}

command_run runCommand(const std::vector<std::string>& words)
{
    return run("2>/dev/null", words);
}

command_run runForErrors(const std::vector<std::string>& words)
{
    return run("2>&1 >/dev/null", words);
}

}
