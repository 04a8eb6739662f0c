#include "Harness/load_run.h"

#include <cmath>
#include <fstream>
#include <map>
#include <stdexcept>
#include <unordered_map>

#include <unistd.h>

namespace vanillashunt {

namespace {

    using std::chrono::milliseconds;

    std::filesystem::path newOutFile()
    {
        static int number = 0;
        return std::filesystem::temp_directory_path() / ("vanillashunt-load-" + std::to_string(getpid()) + "-" + std::to_string(++number) + ".jsonl");
    }

    std::vector<std::string> loadCommand(const load_plan& plan, const std::filesystem::path& outFile)
    {
        std::vector<std::string> command { STANDIN_PATH, "load", "--targets", plan.targets, "--mix", plan.mix, "--phases", plan.phases,
            "--seed", std::to_string(plan.seed), "--out", outFile.string() };
        command.insert(command.end(), plan.further.begin(), plan.further.end());
        return command;
    }

    std::vector<std::string> readTexts(const Json::Value& list)
    {
        std::vector<std::string> texts;
        for (const auto& each : list) {
            texts.push_back(each.asString());
        }
        return texts;
    }

    request_record readRequest(const Json::Value& value)
    {
        request_record record;
        record.nonce = value["nonce"].asString();
        record.name = value["name"].asString();
        record.sent = milliseconds(std::llround(value["at_ms"].asDouble()));
        record.latency = milliseconds(std::llround(value["latency_ms"].asDouble()));
        record.exactLatency = std::chrono::microseconds(std::llround(value["latency_ms"].asDouble() * 1000));
        record.attempts = value["attempts"].asUInt64();
        record.verdicts = readTexts(value["verdicts"]);
        record.reasons = readTexts(value["reasons"]);
        record.whole = value["whole"].asBool() && value["status"].asInt() / 100 == 2;
        record.wrong = value["wrong"].asBool();
        return record;
    }

    run_record readRun(const std::string& service, const Json::Value& value)
    {
        run_record record;
        record.service = service;
        record.nonce = value["nonce"].asString();
        record.attempt = std::stoul("0" + value["attempt"].asString());
        record.start = std::chrono::system_clock::time_point(milliseconds(value["start_ms"].asInt64()));
        record.length = milliseconds(value.isMember("end_ms") ? value["end_ms"].asInt64() - value["start_ms"].asInt64() : 0);
        record.outcome = value["outcome"].asString();
        return record;
    }

}

load_run::load_run(const load_plan& plan)
    : m_outFile(newOutFile())
    , m_process(loadCommand(plan, m_outFile))
{
    m_process.readReady();
    m_started = std::chrono::system_clock::now();
}

load_run::~load_run()
{
    std::error_code ignored;
    std::filesystem::remove(m_outFile, ignored);
}

std::vector<request_record> load_run::finish()
{
    if (!m_process.wait(std::chrono::seconds(90))) {
        throw std::runtime_error("the load did not end within 90 s");
    }
    std::vector<request_record> records;
    std::ifstream file(m_outFile);
    std::string line;
    while (std::getline(file, line)) {
        auto value = parseJson(line);
        if (!value.isMember("summary")) {
            records.push_back(readRequest(value));
        }
    }
    return records;
}

run_audit auditRuns(const std::vector<request_promise>& promises, const std::vector<request_record>& requests, const std::vector<run_record>& runs)
{
    std::map<std::string, const request_promise*> byName;
    for (const auto& promise : promises) {
        byName[promise.name] = &promise;
    }
    std::unordered_map<std::string, const request_promise*> byNonce;
    for (const auto& request : requests) {
        byNonce[request.nonce] = byName.at(request.name);
    }
    std::unordered_map<std::string, std::size_t> entryRuns;
    for (const auto& run : runs) {
        auto promise = byNonce.find(run.nonce);
        if (promise != byNonce.end() && promise->second->service == run.service && run.didWork()) {
            ++entryRuns[run.nonce];
        }
    }
    run_audit audit;
    for (const auto& request : requests) {
        auto count = entryRuns[request.nonce];
        audit.whole += request.whole ? 1 : 0;
        audit.wrongAnswers += request.wrong ? 1 : 0;
        audit.doubleRuns += !byName.at(request.name)->idempotent && count > 1 ? 1 : 0;
        audit.falseNotRun += request.toldNotRun() && count > 0 ? 1 : 0;
    }
    return audit;
}

std::vector<run_record> readRuns(const mesh_server& server)
{
    std::vector<run_record> runs;
    auto page = server.backend->read("/control/runs");
    for (const auto& value : page["runs"]) {
        runs.push_back(readRun(server.spec.service, value));
    }
    return runs;
}

std::vector<run_record> readRunFile(const std::string& service, const std::filesystem::path& path)
{
    // The file has a line at the begin and one at the end of each run; the last one counts.
    std::map<Json::UInt64, run_record> byNumber;
    std::ifstream file(path);
    std::string line;
    while (std::getline(file, line)) {
        auto value = parseJson(line);
        byNumber[value["run"].asUInt64()] = readRun(service, value);
    }
    std::vector<run_record> runs;
    runs.reserve(byNumber.size());
    for (auto& [number, run] : byNumber) {
        runs.push_back(std::move(run));
    }
    return runs;
}

}
