#include "backend/backend_port.h"

namespace vanillashunt {

namespace {

    constexpr unsigned statusNoContent = 204;
    constexpr unsigned statusBadRequest = 400;
    constexpr unsigned statusNotFound = 404;
    constexpr const char* serverResource = "/backend-server";
    constexpr const char* drainResource = "/backend-server/drain";

    http_response textResponse(unsigned status, const std::string& text)
    {
        return { status, { { "Content-Type", "text/plain" } }, text };
    }

}

backend_port::backend_port(boost::asio::io_context& context, const std::string& listenAddress, backend_port_hooks hooks)
    : m_hooks(std::move(hooks))
    , m_server(context, listenAddress, {}, [this](const http_request& request, const std::shared_ptr<http_exchange>& exchange) {
        handle(request, *exchange);
    })
{
}

std::string backend_port::address() const
{
    return m_server.address();
}

void backend_port::handle(const http_request& request, http_exchange& exchange)
{
    if (request.method == "PUT" && request.target == serverResource) {
        auto parsed = parseAnnouncement(request.body);
        if (auto* problem = std::get_if<announcement_problem>(&parsed)) {
            exchange.respond(textResponse(statusBadRequest, problem->message));
            return;
        }
        m_hooks.announced(std::get<backend_announcement>(parsed));
    } else if (request.method == "DELETE" && request.target == serverResource) {
        m_hooks.withdrawn();
    } else if (request.method == "POST" && request.target == drainResource) {
        m_hooks.draining();
    } else {
        exchange.respond(textResponse(statusNotFound, "supported requests: PUT and DELETE of /backend-server, POST of /backend-server/drain"));
        return;
    }
    exchange.respond({ statusNoContent, {}, {} });
}

}
