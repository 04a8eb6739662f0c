#pragma once

#include "Harness/mesh.h"

#include <chrono>
#include <filesystem>
#include <string>
#include <vector>

#include <csignal>

namespace vanillashunt {

// One request of a load, as its client saw it.
struct request_record {
    std::string nonce;
    // The kind of request, as the option --mix names it.
    std::string name;
    // When it was first sent, after the start of the load.
    std::chrono::milliseconds sent { 0 };
    std::chrono::milliseconds latency { 0 };
    std::chrono::microseconds exactLatency { 0 };
    std::size_t attempts = 0;
    // Of each attempt, in order; a word of the client's where no answer came.
    std::vector<std::string> verdicts;
    std::vector<std::string> reasons;
    bool whole = false;
    bool wrong = false;

    bool toldNotRun() const { return !verdicts.empty() && verdicts.back() == "not_run"; }
};

// One run at a backend server, from its own log.
struct run_record {
    std::string service;
    std::string nonce;
    // The attempt's number, as the node gave it.
    unsigned long attempt = 0;
    std::chrono::system_clock::time_point start;
    std::chrono::milliseconds length { 0 };

    std::string outcome;

    // Whether the run did work, and was not dropped from the server's own queue.
    bool didWork() const { return outcome != "shed" && outcome != "dropped"; }
};

// What the options of the load stand-in are to be.
struct load_plan {
    std::string targets;
    std::string mix;
    std::string phases;
    std::vector<std::string> further;
    std::uint64_t seed = 1;
};

// A load stand-in that runs while a test does something to the mesh.
class load_run {
public:
    explicit load_run(const load_plan&);
    ~load_run();

    load_run(const load_run&) = delete;
    load_run& operator=(const load_run&) = delete;

    std::chrono::system_clock::time_point started() const { return m_started; }

    // Ends the arrivals before their time.
    void stopArrivals() { m_process.signal(SIGTERM); }

    // Waits for the end of the load and reads its requests; throws std::runtime_error.
    std::vector<request_record> finish();

private:
    std::filesystem::path m_outFile;
    child_process m_process;
    std::chrono::system_clock::time_point m_started;
};

// What is promised of one kind of request.
struct request_promise {
    std::string name;
    // The service where it enters.
    std::string service;
    bool idempotent = true;
};

// What requests and runs together show; every one but "whole" must be 0.
struct run_audit {
    std::size_t whole = 0;
    std::size_t doubleRuns = 0;
    std::size_t falseNotRun = 0;
    std::size_t wrongAnswers = 0;
};

run_audit auditRuns(const std::vector<request_promise>&, const std::vector<request_record>&, const std::vector<run_record>&);

// The runs that a backend stand-in remembers.
std::vector<run_record> readRuns(const mesh_server&);

// The runs in a file that the backend stand-in's option --log wrote; also of one that was killed.
std::vector<run_record> readRunFile(const std::string& service, const std::filesystem::path&);

}
