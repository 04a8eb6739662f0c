#pragma once

#include "StandIn/call_spec.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace vanillashunt {

// What one backend server reads at its start.
struct backend_settings {
    std::string listen = "127.0.0.1:0";
    std::string service = "service";
    std::string server = "server";
    // Where it announces itself and where it makes onward calls; may be empty.
    std::string nodeBackend;
    std::string nodeCaller;
    std::uint64_t slots = 1;
    std::uint64_t connections = 1000;
    // Own work of one request, without its onward calls.
    std::chrono::microseconds serviceTime { 0 };
    // "fixed" or "exponential".
    std::string serviceDistribution = "fixed";
    std::chrono::microseconds coldStart { 0 };
    std::vector<call_rule> callRules;
    // Makes the onward calls at once rather than one after the other.
    bool parallel = false;
    // Refuses over the slots rather than queueing.
    bool shed = false;
    // Bytes of padding in each answer.
    std::uint64_t answerBytes = 0;
    std::string logFile;
    std::uint64_t seed = 1;
};

// Throws std::invalid_argument that names the option at fault.
backend_settings parseBackendSettings(int argc, char** argv);

}
