#pragma once

#include <json/json.h>

#include <chrono>
#include <cstdint>
#include <fstream>
#include <string>
#include <vector>

namespace vanillashunt {

// One request that a backend server has begun to work on.
struct run_record {
    std::string requestId;
    std::string nonce;
    std::string idempotencyKey;
    std::string attempt;
    std::string organisation;
    std::string method;
    std::string path;
    std::chrono::system_clock::time_point start;
    std::chrono::system_clock::time_point end;
    // "running", "answered", "failed" or "cancelled".
    std::string outcome = "running";
};

// Keeps every run, and writes each start and end to a file that outlives the
// process.
class run_log {
public:
    // An empty file name keeps the runs in memory only.
    explicit run_log(const std::string& fileName);

    // Returns the run's number, by which it is ended.
    std::size_t start(run_record);
    void end(std::size_t number, const std::string& outcome, std::chrono::system_clock::time_point now);

    Json::Value toJson() const;

private:
    void write(std::size_t number);

    std::vector<run_record> m_runs;
    std::ofstream m_file;
};

}
