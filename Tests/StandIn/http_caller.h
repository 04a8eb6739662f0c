#pragma once

#include "StandIn/http_call.h"
#include "StandIn/pipelined_connection.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace vanillashunt {

// Makes calls over kept-alive connections, one call at a time on each unless calls are to be sent ahead.
class http_caller : public std::enable_shared_from_this<http_caller> {
public:
    explicit http_caller(boost::asio::io_context&);

    // Sends the call on a connection that has fewer than this number of unanswered calls.
    void sendAhead(std::size_t mostUnanswered, const tcp_endpoint&, http_request, std::chrono::microseconds timeout, http_call::handler);

    // The handler is called once, from the event loop.
    std::shared_ptr<http_call> send(const tcp_endpoint&, http_request, std::chrono::microseconds timeout, http_call::handler);

private:
    // Returns null where no idle connection is still open.
    http_call::stream_pointer takeIdle(const tcp_endpoint&);

    boost::asio::io_context& m_io;
    std::map<tcp_endpoint, std::vector<http_call::stream_pointer>> m_idle;
    // The connection to each target on which calls are sent ahead.
    std::map<tcp_endpoint, std::shared_ptr<pipelined_connection>> m_ahead;
};

// A request with the fields that every HTTP/1.1 request needs.
http_request makeRequest(const std::string& method, const std::string& target, const tcp_endpoint&);

}
