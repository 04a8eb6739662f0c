#pragma once

#include "StandIn/http_call.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace vanillashunt {

// Makes calls over kept-alive connections, one call at a time on each.
class http_caller : public std::enable_shared_from_this<http_caller> {
public:
    explicit http_caller(boost::asio::io_context&);

    // The handler is called once, from the event loop.
    std::shared_ptr<http_call> send(const tcp_endpoint&, http_request, std::chrono::microseconds timeout, http_call::handler);

private:
    // Returns null where no idle connection is still open.
    http_call::stream_pointer takeIdle(const tcp_endpoint&);

    boost::asio::io_context& m_io;
    std::map<tcp_endpoint, std::vector<http_call::stream_pointer>> m_idle;
};

// A request with the fields that every HTTP/1.1 request needs.
http_request makeRequest(const std::string& method, const std::string& target, const tcp_endpoint&);

}
