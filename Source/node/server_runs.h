#pragma once

#include "backend/instance_client.h"
#include "backend/server_end_detector.h"
#include "backend/server_notices.h"
#include "backend/server_tracker.h"
#include "call/call_answer.h"
#include "call/call_request.h"
#include "call/request_metadata.h"
#include "call/server_load.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

namespace vanillashunt {

struct server_run_hooks {
    // Called with the outcome of a run, once for each run that is not cancelled.
    std::function<void(std::uint64_t runId, const call_answer&)> answered;
    // Called when the server at the address answers that it is not the expected start.
    std::function<void(const server_start&)> misdirected;
    // Called with the load that a start of the server reports; std::nullopt if it is unreadable.
    std::function<void(const server_start&, const std::optional<server_load>&)> loadReported;
    // Called with what an answer of a start of the server announces, or does not announce.
    std::function<void(const server_start&, const received_notice&)> noticeReceived;
    // Called if an answer of a start of the server was cut off because of its size.
    std::function<void(const server_start&)> answerCutOff;
    // Called if a part of what it announces is unreadable.
    std::function<void(const server_start&)> noticeUnreadable;
};

// Runs requests on the local backend server, with the headers of the platform's server protocol.
class server_runs {
public:
    // The address is the server's "IP:port".
    server_runs(boost::asio::io_context&, std::string address, instance_client_settings, server_run_hooks);

    // Sends the request to this start of the server, which has to finish it by the deadline.
    void begin(std::uint64_t runId, const server_report&, const call_request&, std::chrono::steady_clock::time_point deadline);

    void cancel(std::uint64_t runId);

    // Closes the connections without a run, after the server that accepted them has terminated.
    void closeIdle() { m_client.closeIdle(); }

    // Checks whether a server is present: by an open connection or by opening one.
    void checkPresence(const std::function<void(server_presence)>&);

    const instance_client_counts& counts() const { return m_client.counts(); }

private:
    using time_point = std::chrono::steady_clock::time_point;

    void ended(std::uint64_t runId, const server_start&, time_point sent, instance_result);
    void readNotice(const server_start&, time_point sent, const http_response&, const answer_metadata&);

    std::string m_address;
    server_run_hooks m_hooks;
    instance_client m_client;
    // The client's id of each run, by run id.
    std::unordered_map<std::uint64_t, std::uint64_t> m_clientIds;
};

}
