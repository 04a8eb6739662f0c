#include "Harness/stand_in.h"

#include "Harness/http_client.h"

#include <sstream>
#include <stdexcept>
#include <thread>

namespace vanillashunt {

namespace {

    constexpr std::chrono::milliseconds askInterval(5);

    std::vector<std::string> withPath(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.begin(), STANDIN_PATH);
        return arguments;
    }

    Json::Value call(const std::string& method, const std::string& address, const std::string& path, const std::string& body)
    {
        auto result = request(method, address, path, {}, body);
        if (auto* error = std::get_if<http_error>(&result)) {
            throw std::runtime_error(method + " " + path + " at " + address + ": " + error->message);
        }
        const auto& answer = std::get<http_answer>(result);
        if (answer.status != 200) {
            throw std::runtime_error(method + " " + path + " at " + address + ": " + answer.body);
        }
        return parseJson(answer.body);
    }

}

stand_in::stand_in(std::vector<std::string> arguments)
    : m_process(withPath(std::move(arguments)))
    , m_ready(m_process.readReady())
{
}

Json::Value stand_in::control(const std::string& command) const
{
    return call("POST", address(), "/control", command);
}

Json::Value stand_in::read(const std::string& path) const
{
    return call("GET", address(), path, "");
}

bool waitUntil(const std::function<bool()>& condition, std::chrono::milliseconds bound)
{
    auto deadline = std::chrono::steady_clock::now() + bound;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(askInterval);
    }
    return true;
}

Json::Value parseJson(const std::string& text)
{
    Json::Value value;
    std::string errors;
    std::istringstream stream(text);
    if (!Json::parseFromStream(Json::CharReaderBuilder(), stream, &value, &errors)) {
        throw std::runtime_error("no JSON: " + errors + text);
    }
    return value;
}

}
