#pragma once

#include "backend/instance_client.h"
#include "backend/server_end_detector.h"
#include "backend/server_tracker.h"
#include "call/call_answer.h"
#include "call/call_request.h"
#include "call/server_load.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

namespace vanillashunt {

struct server_run_hooks {
    // What came of a run; called once for each that is not cancelled.
    std::function<void(std::uint64_t runId, const call_answer&)> answered;
    // The server at the address is another one than was meant.
    std::function<void(const server_start&)> misdirected;
    // That start of the server told its load; nothing where it cannot be read.
    std::function<void(const server_start&, const std::optional<server_load>&)> loadReported;
};

// The requests that are with the server beside this node, in the headers that the
// platform's servers understand.
class server_runs {
public:
    // The address is the server's "IP:port".
    server_runs(boost::asio::io_context&, std::string address, instance_client_settings, server_run_hooks);

    // Sends the request to this start of the server, which is to stop at the deadline.
    void begin(std::uint64_t runId, const server_report&, const call_request&, std::chrono::steady_clock::time_point deadline);

    void cancel(std::uint64_t runId);

    // Closes the connections that no run is on: the server that had them is gone.
    void closeIdle() { m_client.closeIdle(); }

    // Tells whether the server is there: by an open connection, or by opening one.
    void checkPresence(const std::function<void(server_presence)>&);

    const instance_client_counts& counts() const { return m_client.counts(); }

private:
    void ended(std::uint64_t runId, const server_start&, instance_result);

    std::string m_address;
    server_run_hooks m_hooks;
    instance_client m_client;
    // What the client calls each run.
    std::unordered_map<std::uint64_t, std::uint64_t> m_sent;
};

}
