#pragma once

#include "StandIn/call_spec.h"
#include "StandIn/http_caller.h"
#include "StandIn/http_connection.h"

#include <json/json.h>

#include <functional>
#include <memory>
#include <vector>

namespace vanillashunt {

// How one request ended.
enum class run_outcome : std::uint8_t {
    Answered,
    Failed, // An onward call failed.
    Cancelled, // The caller closed its connection.
};

// What a run needs from its backend server.
struct run_environment {
    boost::asio::io_context& io;
    std::shared_ptr<http_caller> caller;
    // Where onward calls go.
    tcp_endpoint nodeCaller;
    bool parallel = false;
    // Time of each half of the own work, asked when the half begins.
    std::function<std::chrono::microseconds()> halfServiceTime;
    // Whether runs are to wait where they are after their start.
    std::function<bool()> isPaused;
};

// One request at work: half of the service time, the onward calls, and the
// other half. It goes on to the end of its step when it is cancelled.
class backend_run : public std::enable_shared_from_this<backend_run> {
public:
    using handler = std::function<void(run_outcome, Json::Value children)>;

    backend_run(run_environment, http_request, std::vector<call_spec>, handler);

    void start();
    void cancel();

    // Goes on after a pause.
    void resume();

    const http_request& request() const { return m_request; }

private:
    void work(std::function<void()> next);
    void callOnward();
    void startCall(std::size_t index);
    void finishCall(std::size_t index, const http_outcome&);
    void finish(run_outcome);

    run_environment m_environment;
    http_request m_request;
    std::vector<call_spec> m_calls;
    handler m_handler;
    std::vector<std::shared_ptr<http_call>> m_underWay;
    Json::Value m_children { Json::arrayValue };
    std::size_t m_callsLeft = 0;
    bool m_isWaiting = false;
    bool m_isCancelled = false;
};

}
