#include "operator/operator_rpc.h"

#include "operator/operator_state.h"
#include "store/gateway_json.h"

#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/server/abstractserver.h>

namespace vanillashunt {

namespace {

    constexpr const char* dumpMethod = "dump";
    constexpr const char* statusMethod = "status";
    constexpr const char* announceStopMethod = "announce_stop";
    constexpr const char* withdrawStopMethod = "withdraw_stop";
    constexpr const char* explainMethod = "explain";
    constexpr const char* quotaMethod = "quota";

    constexpr const char* unreadableAnswer = R"({"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"INVALID_JSON_REQUEST: the request cannot be read"}})";

    jsonrpc::Procedure procedureWithout(const char* name)
    {
        return { name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr };
    }

    jsonrpc::Procedure procedureSince(const char* name)
    {
        return { name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, "revision", jsonrpc::JSON_INTEGER, nullptr };
    }

    bool callsStateMethod(const Json::Value& request)
    {
        if (!request.isObject() || !request["method"].isString()) {
            return false;
        }
        auto method = request["method"].asString();
        return method == dumpMethod || method == statusMethod;
    }

    Json::Value resultOf(const operator_reply& reply)
    {
        if (const auto* refusal = std::get_if<operator_refusal>(&reply)) {
            throw jsonrpc::JsonRpcException(static_cast<int>(operator_error_code::Refused), refusal->message);
        }
        return std::get<Json::Value>(reply);
    }

    jsonrpc::JsonRpcException notServed(const char* method)
    {
        return { static_cast<int>(operator_error_code::Refused), std::string("this node does not serve ") + method };
    }

}

// Hands the text of a request to the library; there is nothing to listen on.
class operator_rpc::connector : public jsonrpc::AbstractServerConnector {
public:
    bool StartListening() override { return true; }
    bool StopListening() override { return true; }

    bool SendResponse(const std::string& response, void* addInfo) override
    {
        *static_cast<std::string*>(addInfo) = response;
        return true;
    }
};

// The methods, bound by hand.
class operator_rpc::methods : public jsonrpc::AbstractServer<methods> {
public:
    methods(connector& requests, operator_hooks hooks)
        : AbstractServer(requests, jsonrpc::JSONRPC_SERVER_V2)
        , m_hooks(std::move(hooks))
    {
        bindAndAddMethod(procedureWithout(dumpMethod), &methods::dump);
        bindAndAddMethod(procedureWithout(statusMethod), &methods::status);
        bindAndAddMethod(procedureSince(contractsSinceMethod), &methods::contractsSince);
        bindAndAddMethod(procedureSince(poisonSinceMethod), &methods::poisonSince);
        bindAndAddMethod({ poisonToldMethod, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, "version", jsonrpc::JSON_INTEGER, "records", jsonrpc::JSON_ARRAY, nullptr }, &methods::poisonTold);
        bindAndAddMethod(procedureWithout(announceStopMethod), &methods::announceStop);
        bindAndAddMethod(procedureWithout(withdrawStopMethod), &methods::withdrawStop);
        bindAndAddMethod({ explainMethod, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, "request_id", jsonrpc::JSON_STRING, nullptr }, &methods::explain);
        bindAndAddMethod({ quotaMethod, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, "organisation", jsonrpc::JSON_STRING, nullptr }, &methods::quota);
    }

    void setState(const Json::Value* state) { m_state = state; }

private:
    void dump(const Json::Value&, Json::Value& result) { result = *m_state; }

    void status(const Json::Value&, Json::Value& result) { result = statusOf(*m_state); }

    void contractsSince(const Json::Value& parameters, Json::Value& result)
    {
        result = newsOf(m_hooks.contractsSince, contractsSinceMethod, parameters);
    }

    void poisonSince(const Json::Value& parameters, Json::Value& result)
    {
        result = newsOf(m_hooks.poisonSince, poisonSinceMethod, parameters);
    }

    void poisonTold(const Json::Value& parameters, Json::Value& result)
    {
        if (!m_hooks.poisonTold) {
            throw notServed(poisonToldMethod);
        }
        result = resultOf(m_hooks.poisonTold(parameters));
    }

    static Json::Value newsOf(const std::function<operator_reply(std::int64_t)>& hook, const char* method, const Json::Value& parameters)
    {
        const auto& revision = parameters["revision"];
        if (!revision.isInt64() || revision.asInt64() < 0) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS, "revision is to be a whole number from 0 on");
        }
        if (!hook) {
            throw notServed(method);
        }
        return resultOf(hook(revision.asInt64()));
    }

    void announceStop(const Json::Value& parameters, Json::Value& result)
    {
        if (!m_hooks.announceStop) {
            throw notServed(announceStopMethod);
        }
        result = resultOf(m_hooks.announceStop(parameters));
    }

    void withdrawStop(const Json::Value& parameters, Json::Value& result)
    {
        if (!m_hooks.withdrawStop) {
            throw notServed(withdrawStopMethod);
        }
        result = resultOf(m_hooks.withdrawStop(parameters));
    }

    void explain(const Json::Value& parameters, Json::Value& result)
    {
        if (!m_hooks.explain) {
            throw notServed(explainMethod);
        }
        result = resultOf(m_hooks.explain(parameters["request_id"].asString()));
    }

    void quota(const Json::Value& parameters, Json::Value& result)
    {
        if (!m_hooks.quota) {
            throw notServed(quotaMethod);
        }
        result = resultOf(m_hooks.quota(parameters["organisation"].asString()));
    }

    operator_hooks m_hooks;
    const Json::Value* m_state = nullptr;
};

operator_rpc::operator_rpc(operator_hooks hooks)
    : m_connector(std::make_unique<connector>())
    , m_methods(std::make_unique<methods>(*m_connector, std::move(hooks)))
{
}

operator_rpc::~operator_rpc() = default;

bool operator_rpc::needsState(const std::string& requestText)
{
    auto request = readJson(requestText);
    if (!request.isArray()) {
        return callsStateMethod(request);
    }
    return std::any_of(request.begin(), request.end(), callsStateMethod);
}

std::string operator_rpc::answer(const std::string& requestText, const Json::Value& state)
{
    m_methods->setState(&state);
    std::string response;
    try {
        m_connector->OnRequest(requestText, &response);
    } catch (const std::exception&) {
        // The library lets the JSON reader's own exceptions through, for example
        // for a text that is nested too deeply.
        response = unreadableAnswer;
    }
    m_methods->setState(nullptr);
    return response;
}

}
