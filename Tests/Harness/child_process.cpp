#include "Harness/child_process.h"

#include <cerrno>
#include <csignal>
#include <cstring>
#include <sstream>
#include <stdexcept>
#include <thread>

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace vanillashunt {

namespace {

    using clock = std::chrono::steady_clock;

    constexpr std::chrono::milliseconds pollInterval(5);
    constexpr int execFailed = 127;

    // What the child does between fork and exec.
    [[noreturn]] void execute(std::vector<char*>& arguments, int output, pid_t parent)
    {
        // Without this the child would live on when the test is killed.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) {
            _exit(execFailed);
        }
        dup2(output, STDOUT_FILENO);
        execv(arguments.front(), arguments.data());
        _exit(execFailed);
    }

    int toPollTimeout(clock::duration left)
    {
        auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(left).count();
        return static_cast<int>(std::max<std::int64_t>(milliseconds, 0));
    }

}

child_process::child_process(const std::vector<std::string>& command)
{
    int ends[2];
    if (pipe2(ends, O_CLOEXEC) != 0) {
        throw std::runtime_error("cannot start " + command.at(0) + ": no pipe: " + std::strerror(errno));
    }
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (const auto& word : command) {
        arguments.push_back(const_cast<char*>(word.c_str()));
    }
    arguments.push_back(nullptr);

    auto parent = getpid();
    m_id = fork();
    if (m_id == 0) {
        execute(arguments, ends[1], parent);
    }
    close(ends[1]);
    m_output = ends[0];
    if (m_id < 0) {
        close(m_output);
        throw std::runtime_error("cannot start " + command.at(0) + ": " + std::strerror(errno));
    }
}

child_process::~child_process()
{
    kill();
    close(m_output);
}

std::variant<std::string, child_failure> child_process::readLine(milliseconds timeout)
{
    auto deadline = clock::now() + timeout;
    for (;;) {
        if (auto end = m_unread.find('\n'); end != std::string::npos) {
            auto line = m_unread.substr(0, end);
            m_unread.erase(0, end + 1);
            return line;
        }
        pollfd waiting { m_output, POLLIN, 0 };
        auto ready = ::poll(&waiting, 1, toPollTimeout(deadline - clock::now()));
        if (ready == 0) {
            return child_failure { "no line came in time" };
        }
        char bytes[65536];
        auto length = ready < 0 ? -1 : read(m_output, bytes, sizeof bytes);
        if (length == 0) {
            return child_failure { "the child closed its standard output" };
        }
        if (length > 0) {
            m_unread.append(bytes, static_cast<std::size_t>(length));
        } else if (errno != EINTR) {
            return child_failure { std::string("cannot read: ") + std::strerror(errno) };
        }
    }
}

Json::Value child_process::readReady(milliseconds timeout)
{
    auto line = readLine(timeout);
    if (auto* failure = std::get_if<child_failure>(&line)) {
        throw std::runtime_error("process " + std::to_string(m_id) + " is not ready: " + failure->message);
    }
    Json::Value value;
    std::string errors;
    std::istringstream stream(std::get<std::string>(line));
    if (!Json::parseFromStream(Json::CharReaderBuilder(), stream, &value, &errors) || !value.isObject()) {
        throw std::runtime_error("process " + std::to_string(m_id) + " printed no JSON object but: " + stream.str());
    }
    return value;
}

void child_process::signal(int number)
{
    if (!poll()) {
        ::kill(m_id, number);
    }
}

std::optional<child_end> child_process::poll()
{
    int status = 0;
    if (!m_end && waitpid(m_id, &status, WNOHANG) == m_id) {
        m_end.emplace();
        if (WIFEXITED(status)) {
            m_end->exitCode = WEXITSTATUS(status);
        } else {
            m_end->signal = WTERMSIG(status);
        }
    }
    return m_end;
}

std::optional<child_end> child_process::wait(milliseconds timeout)
{
    auto deadline = clock::now() + timeout;
    while (!poll() && clock::now() < deadline) {
        std::this_thread::sleep_for(pollInterval);
    }
    return m_end;
}

void child_process::kill()
{
    signal(SIGKILL);
    wait();
}

}
