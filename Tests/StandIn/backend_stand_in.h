#pragma once

#include "StandIn/announcement.h"
#include "StandIn/backend_run.h"
#include "StandIn/backend_settings.h"
#include "StandIn/http_server.h"
#include "StandIn/load_report.h"
#include "StandIn/run_log.h"

#include <deque>
#include <memory>
#include <random>
#include <set>

namespace vanillashunt {

// One backend server: a number of slots, a queue before them, and onward calls
// through its own node.
class backend_stand_in {
public:
    backend_stand_in(boost::asio::io_context&, const backend_settings&);

    std::string address() const { return m_server.address(); }

    void start();

    // Drains, waits until nothing runs, withdraws, and calls back.
    void leave(std::function<void()> done);

private:
    // Requests that never got a slot, by why.
    struct counters {
        std::uint64_t shed = 0;
        std::uint64_t dropped = 0;
        std::uint64_t surplusClosed = 0;
    };

    void serve(const http_connection::pointer&);
    bool serveControl(const http_connection::pointer&);
    void control(const Json::Value& command);
    Json::Value runsJson() const;

    void take(const http_connection::pointer&);
    void shed(const http_connection::pointer&);
    void startQueued();
    void startRun(const http_connection::pointer&);
    void finishRun(const std::shared_ptr<backend_run>&, const http_connection::pointer&, std::size_t number, run_outcome, const Json::Value& children);
    Json::Value answerBody(const http_request&, const Json::Value& children) const;
    void recordLoad();

    std::chrono::microseconds halfServiceTime();
    double coldStartFactor(std::chrono::steady_clock::time_point now) const;
    void waitUntilIdle(std::function<void()> done, std::size_t quietChecks);

    boost::asio::io_context& m_io;
    backend_settings m_settings;
    http_server m_server;
    std::shared_ptr<http_caller> m_caller;
    announcement m_announcement;
    run_log m_log;
    load_report m_load;
    std::mt19937_64 m_random;
    std::chrono::steady_clock::time_point m_startTime;
    std::deque<http_connection::pointer> m_queue;
    std::set<std::shared_ptr<backend_run>> m_running;
    counters m_counters;
    bool m_isUnhealthy = false;
    bool m_isPaused = false;
};

// Runs the subcommand "backend".
int runBackend(int argc, char** argv);

}
