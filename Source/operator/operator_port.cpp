#include "operator/operator_port.h"

#include "operator/operator_rpc.h"
#include "store/gateway_json.h"

namespace vanillashunt {

namespace {

    constexpr unsigned statusOk = 200;
    constexpr unsigned statusNoContent = 204;
    constexpr unsigned statusNotFound = 404;
    constexpr unsigned statusNotAllowed = 405;
    constexpr unsigned statusUnavailable = 503;
    constexpr const char* metricsPath = "/metrics";
    constexpr const char* rpcPath = "/rpc";
    constexpr const char* metricsType = "text/plain; version=0.0.4; charset=utf-8";

    http_response textResponse(unsigned status, const std::string& text)
    {
        return { status, { { "Content-Type", "text/plain" } }, text };
    }

    http_response notAllowed(const char* allowed)
    {
        auto response = textResponse(statusNotAllowed, std::string("this path takes ") + allowed + " only\n");
        response.fields.push_back({ "Allow", allowed });
        return response;
    }

}

struct operator_port::parts {
    parts(boost::asio::io_context& context, const std::string& listenAddress, operator_hooks given)
        : hooks(std::move(given))
        , rpc(hooks)
        , server(context, listenAddress, {}, [this](const http_request& request, const std::shared_ptr<http_exchange>& exchange) { handle(request, exchange); })
    {
    }

    void handle(const http_request&, const std::shared_ptr<http_exchange>&);
    void answerMetrics(const std::shared_ptr<http_exchange>&) const;
    void answerRpc(const std::string& text, const std::shared_ptr<http_exchange>&);
    void respondRpc(const std::string& text, const Json::Value& state, http_exchange&);

    operator_hooks hooks;
    operator_rpc rpc;
    http_server server;
};

void operator_port::parts::handle(const http_request& request, const std::shared_ptr<http_exchange>& exchange)
{
    if (request.target == metricsPath) {
        if (request.method != "GET") {
            exchange->respond(notAllowed("GET"));
            return;
        }
        answerMetrics(exchange);
    } else if (request.target == rpcPath) {
        if (request.method != "POST") {
            exchange->respond(notAllowed("POST"));
            return;
        }
        answerRpc(request.body, exchange);
    } else {
        exchange->respond(textResponse(statusNotFound, "this port takes GET of /metrics and POST of /rpc\n"));
    }
}

void operator_port::parts::answerMetrics(const std::shared_ptr<http_exchange>& exchange) const
{
    if (!hooks.collectMetrics) {
        exchange->respond(textResponse(statusUnavailable, "this node keeps no metrics\n"));
        return;
    }
    hooks.collectMetrics([exchange](std::string text) {
        exchange->respond({ statusOk, { { "Content-Type", metricsType } }, std::move(text) });
    });
}

void operator_port::parts::answerRpc(const std::string& text, const std::shared_ptr<http_exchange>& exchange)
{
    if (!hooks.collectState || !operator_rpc::needsState(text)) {
        respondRpc(text, {}, *exchange);
        return;
    }
    hooks.collectState([this, text, exchange](const Json::Value& state) { respondRpc(text, state, *exchange); });
}

void operator_port::parts::respondRpc(const std::string& text, const Json::Value& state, http_exchange& exchange)
{
    auto answer = rpc.answer(text, state);
    if (answer.empty()) {
        exchange.respond({ statusNoContent, {}, {} });
        return;
    }
    exchange.respond({ statusOk, { { "Content-Type", "application/json" } }, std::move(answer) });
}

operator_port::operator_port(boost::asio::io_context& context, const std::string& listenAddress, operator_hooks hooks)
    : m_parts(std::make_unique<parts>(context, listenAddress, std::move(hooks)))
{
}

operator_port::~operator_port() = default;

std::string operator_port::address() const
{
    return m_parts->server.address();
}

}
