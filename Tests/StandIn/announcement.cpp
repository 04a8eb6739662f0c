#include "StandIn/announcement.h"

namespace vanillashunt {

namespace {

    constexpr std::chrono::milliseconds retryInterval(200);
    constexpr std::chrono::seconds repeatInterval(1);
    constexpr std::chrono::seconds callTimeout(1);

}

announcement::announcement(boost::asio::io_context& io, std::shared_ptr<http_caller> caller, const std::string& node, const Json::Value& body)
    : m_io(io)
    , m_caller(std::move(caller))
    , m_body(toLine(body))
{
    if (!node.empty()) {
        m_node = parseEndpoint(node);
    }
}

void announcement::start()
{
    m_isActive = true;
    announce();
}

void announcement::announce()
{
    if (!m_isActive || !m_node) {
        return;
    }
    send("PUT", "/backend-server", m_body, [this](bool succeeded) {
        callAfter(m_io, succeeded ? std::chrono::milliseconds(repeatInterval) : retryInterval, [this] { announce(); });
    });
}

void announcement::drain(std::function<void()> done)
{
    m_isActive = false;
    send("POST", "/backend-server/drain", "", [done = std::move(done)](bool) { done(); });
}

void announcement::withdraw(std::function<void()> done)
{
    m_isActive = false;
    send("DELETE", "/backend-server", "", [done = std::move(done)](bool) { done(); });
}

void announcement::send(const std::string& method, const std::string& path, const std::string& body, std::function<void(bool)> done)
{
    if (!m_node) {
        done(false);
        return;
    }
    auto request = makeRequest(method, path, *m_node);
    request.set(http::field::content_type, "application/json");
    request.body() = body;
    m_caller->send(*m_node, std::move(request), callTimeout, [done = std::move(done)](http_outcome outcome) {
        const auto* response = std::get_if<http_response>(&outcome);
        done(response && response->result_int() / 100 == 2);
    });
}

}
