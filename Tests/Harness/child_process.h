#pragma once

#include <json/json.h>

#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <sys/types.h>

namespace vanillashunt {

// Why a child process did not do what a test waited for.
struct child_failure {
    std::string message;
};

// How a child process ended.
struct child_end {
    // Set where it exited by itself.
    std::optional<int> exitCode;
    // Set where a signal ended it.
    std::optional<int> signal;
};

// A program that a test has started. It is killed with the object if it still
// runs then, and never outlives the thread that started it.
class child_process {
public:
    using milliseconds = std::chrono::milliseconds;

    // The first word is the program's path. Throws std::runtime_error where it
    // cannot be started.
    explicit child_process(const std::vector<std::string>& command);
    ~child_process();

    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    pid_t id() const { return m_id; }

    // Reads the next line of the standard output.
    std::variant<std::string, child_failure> readLine(milliseconds timeout);

    // Reads the line that the child prints when it is ready; throws
    // std::runtime_error where it brings no JSON object in time.
    Json::Value readReady(milliseconds timeout = std::chrono::seconds(20));

    // Sends a signal, for example SIGSTOP; does nothing once the child has ended.
    void signal(int number);

    // Waits for the end; nothing where the child still runs after the timeout.
    std::optional<child_end> wait(milliseconds timeout = std::chrono::seconds(60));

    // Sends SIGKILL and waits for the end.
    void kill();

private:
    std::optional<child_end> poll();

    pid_t m_id = -1;
    int m_output = -1;
    std::string m_unread;
    std::optional<child_end> m_end;
};

}
