#include "StandIn/http_caller.h"

#include <sys/socket.h>

namespace vanillashunt {

namespace {

    // Whether the other end has neither closed the idle connection nor sent
    // anything on it.
    bool isQuiet(boost::beast::tcp_stream& stream)
    {
        char byte = 0;
        auto received = ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

}

http_request makeRequest(const std::string& method, const std::string& target, const tcp_endpoint& endpoint)
{
    http_request request;
    request.method_string(method);
    request.target(target);
    request.version(11);
    request.set(http::field::host, toString(endpoint));
    return request;
}

http_caller::http_caller(boost::asio::io_context& io)
    : m_io(io)
{
}

std::shared_ptr<http_call> http_caller::send(const tcp_endpoint& target, http_request request, std::chrono::microseconds timeout, http_call::handler handler)
{
    request.prepare_payload();
    auto stream = takeIdle(target);
    bool isConnected = stream != nullptr;
    if (!isConnected) {
        stream = std::make_unique<boost::beast::tcp_stream>(m_io);
    }
    auto keep = [self = shared_from_this(), target](http_call::stream_pointer released) {
        self->m_idle[target].push_back(std::move(released));
    };
    auto call = std::make_shared<http_call>(std::move(stream), std::move(request), std::move(handler), keep);
    call->start(target, isConnected, timeout);
    return call;
}

void http_caller::sendAhead(std::size_t mostUnanswered, const tcp_endpoint& target, http_request request, std::chrono::microseconds timeout, http_call::handler handler)
{
    request.prepare_payload();
    auto& connection = m_ahead[target];
    if (!connection || !connection->isOpen() || connection->unanswered() >= mostUnanswered) {
        connection = std::make_shared<pipelined_connection>(m_io, target);
    }
    connection->send(std::move(request), timeout, std::move(handler));
}

http_call::stream_pointer http_caller::takeIdle(const tcp_endpoint& target)
{
    auto& idle = m_idle[target];
    while (!idle.empty()) {
        auto stream = std::move(idle.back());
        idle.pop_back();
        if (isQuiet(*stream)) {
            return stream;
        }
    }
    return nullptr;
}

}
