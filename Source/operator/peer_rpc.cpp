#include "operator/peer_rpc.h"

#include "json_rpc/json_rpc_text.h"

namespace vanillashunt {

namespace {

    constexpr unsigned statusOk = 200;

    operator_result readResult(const http_result& result)
    {
        if (const auto* failure = std::get_if<http_failure>(&result)) {
            return operator_error { failure->sent ? operator_failure::Lost : operator_failure::NotSent, failure->message };
        }
        const auto& response = std::get<http_response>(result);
        if (response.status != statusOk) {
            return operator_error { operator_failure::Refused, "it answered with HTTP status " + std::to_string(response.status) + ", so it is no operator port" };
        }
        auto answer = readJsonRpcResponse(response.body);
        if (!answer.succeeded) {
            return operator_error { operator_failure::Refused, answer.message };
        }
        return answer.result;
    }

}

std::uint64_t peer_rpc::call(const std::string& address, const std::string& method, const Json::Value& parameters,
    std::chrono::milliseconds timeout, operator_result_handler handler)
{
    http_request request { "POST", "/rpc", { { "Content-Type", "application/json" } }, writeJsonRpcRequest(method, parameters) };
    return m_client.send(address, request, timeout, [handler = std::move(handler)](const http_result& result) { handler(readResult(result)); });
}

}
