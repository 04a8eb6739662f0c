#include "json_rpc/json_rpc_text.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/common/errors.h>

#include <exception>

namespace vanillashunt {

namespace {

    // Replaces the network connection of the library: stores the request and returns a given
    // response, so that the library only serializes and parses messages.
    class in_memory_connector : public jsonrpc::IClientConnector {
    public:
        explicit in_memory_connector(const std::string& response)
            : m_response(response)
        {
        }

        void SendRPCMessage(const std::string& message, std::string& result) noexcept override
        {
            m_request = message;
            result = m_response;
        }

        const std::string& request() const { return m_request; }

    private:
        std::string m_request;
        std::string m_response;
    };

    constexpr const char* emptyResponse = R"({"jsonrpc":"2.0","id":1,"result":null})";

}

std::string writeJsonRpcRequest(const std::string& method, const Json::Value& parameters)
{
    in_memory_connector connector(emptyResponse);
    jsonrpc::Client(connector).CallMethod(method, parameters);
    return connector.request();
}

json_rpc_response readJsonRpcResponse(const std::string& text)
{
    in_memory_connector connector(text);
    json_rpc_response response;
    try {
        response.result = jsonrpc::Client(connector).CallMethod("", Json::Value(Json::objectValue));
        response.succeeded = true;
    } catch (const jsonrpc::JsonRpcException& error) {
        response.errorCode = error.GetCode();
        response.message = error.GetMessage();
    } catch (const std::exception& error) {
        response.errorCode = jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE;
        response.message = error.what();
    }
    return response;
}

}
