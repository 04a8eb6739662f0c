#pragma once

#include "Harness/child_process.h"

#include <json/json.h>

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace vanillashunt {

// A stand-in's process, ready to serve.
class stand_in {
public:
    // The first word is the subcommand. Throws std::runtime_error where the
    // stand-in does not get ready.
    explicit stand_in(std::vector<std::string> arguments);

    child_process& process() { return m_process; }

    // What the stand-in printed when it was ready.
    const Json::Value& ready() const { return m_ready; }

    // Where it listens: "IP:port".
    std::string address() const { return m_ready["address"].asString(); }

    // Sends a control command; throws std::runtime_error where it is refused.
    Json::Value control(const std::string& command) const;

    // Reads a page such as "/control/runs"; throws std::runtime_error.
    Json::Value read(const std::string& path) const;

private:
    child_process m_process;
    Json::Value m_ready;
};

// Asks until the condition holds; returns whether it did within the bound, which
// only ends a test that has failed.
bool waitUntil(const std::function<bool()>& condition, std::chrono::milliseconds bound = std::chrono::seconds(30));

// Reads JSON; throws std::runtime_error.
Json::Value parseJson(const std::string& text);

}
