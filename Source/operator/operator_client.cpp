#include "operator/operator_client.h"

#include "operator/peer_rpc.h"

#include <boost/asio/io_context.hpp>

#include <functional>

namespace vanillashunt {

namespace {

    // A dump of a large deployment is long.
    constexpr std::uint64_t maxAnswerBytes = 256ULL * 1024 * 1024;

    // Few enough for the open files that a process may have by default.
    constexpr std::size_t callsAtOnce = 128;

}

std::vector<operator_result> callOperatorPorts(const std::vector<std::string>& addresses, const std::string& method, const Json::Value& parameters, std::chrono::milliseconds timeout)
{
    boost::asio::io_context context(1);
    http_client_settings settings;
    settings.maxBodyBytes = maxAnswerBytes;
    settings.maxIdle = 0;
    http_client client(context, settings);
    peer_rpc rpc(client);
    std::vector<operator_result> results(addresses.size());
    std::size_t started = 0;
    std::function<void()> startNext = [&] {
        if (started == addresses.size()) {
            return;
        }
        auto index = started++;
        rpc.call(addresses[index], method, parameters, timeout, [&, index](operator_result result) {
            results[index] = std::move(result);
            startNext();
        });
    };
    for (std::size_t slot = 0; slot < callsAtOnce; ++slot) {
        startNext();
    }
    context.run();
    return results;
}

operator_result callOperatorPort(const std::string& address, const std::string& method, const Json::Value& parameters, std::chrono::milliseconds timeout)
{
    return callOperatorPorts({ address }, method, parameters, timeout).front();
}

}
