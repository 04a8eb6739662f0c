#include "StandIn/run_log.h"

#include "StandIn/event_loop.h"

#include <stdexcept>

namespace vanillashunt {

namespace {

    Json::Int64 toMilliseconds(std::chrono::system_clock::time_point time)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
    }

    Json::Value toJson(const run_record& run)
    {
        Json::Value object;
        object["request_id"] = run.requestId;
        object["nonce"] = run.nonce;
        object["key"] = run.idempotencyKey;
        object["attempt"] = run.attempt;
        object["customer"] = run.organisation;
        object["method"] = run.method;
        object["path"] = run.path;
        object["start_ms"] = toMilliseconds(run.start);
        if (run.outcome != "running") {
            object["end_ms"] = toMilliseconds(run.end);
        }
        object["outcome"] = run.outcome;
        return object;
    }

}

run_log::run_log(const std::string& fileName)
{
    if (fileName.empty()) {
        return;
    }
    m_file.open(fileName, std::ios::app);
    if (!m_file) {
        throw std::invalid_argument("cannot write the run log " + fileName + "; name a file in a folder that exists");
    }
}

std::size_t run_log::start(run_record run)
{
    m_runs.push_back(std::move(run));
    write(m_runs.size() - 1);
    return m_runs.size() - 1;
}

void run_log::end(std::size_t number, const std::string& outcome, std::chrono::system_clock::time_point now)
{
    m_runs[number].outcome = outcome;
    m_runs[number].end = now;
    write(number);
}

void run_log::write(std::size_t number)
{
    if (!m_file.is_open()) {
        return;
    }
    auto line = vanillashunt::toJson(m_runs[number]);
    line["run"] = static_cast<Json::UInt64>(number);
    m_file << toLine(line) << std::endl;
}

Json::Value run_log::toJson() const
{
    Json::Value list(Json::arrayValue);
    for (const auto& run : m_runs) {
        list.append(vanillashunt::toJson(run));
    }
    return list;
}

}
