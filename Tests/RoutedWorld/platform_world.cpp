#include "RoutedWorld/platform_world.h"

#include "http/json_text.h"

#include <json/value.h>

namespace vanillashunt {

namespace {

    constexpr const char* configurationKey = "op/config";

    std::string encode(const std::string& bytes)
    {
        constexpr const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t i = 0; i < bytes.size(); i += 3) {
            unsigned group = 0;
            for (std::size_t j = 0; j < 3; ++j) {
                group = group << 8U | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
            }
            for (std::size_t j = 0; j < 4; ++j) {
                text += i + j > bytes.size() ? '=' : digits[group >> (18U - 6U * j) & 63U];
            }
        }
        return text;
    }

    http_response json(unsigned status, const Json::Value& body)
    {
        return { status, { { "Content-Type", "application/json" } }, writeJson(body) };
    }

    bool beginsWith(const std::string& text, const std::string& beginning)
    {
        return text.compare(0, beginning.size(), beginning) == 0;
    }

}

platform_world::platform_world()
{
    m_store = std::make_unique<http_server>(m_loop.context, "127.0.0.1:0", http_server_limits {},
        [this](const http_request& request, const std::shared_ptr<http_exchange>& exchange) { storeCalled(request, exchange); });
    m_server = std::make_unique<http_server>(m_loop.context, "127.0.0.1:0", http_server_limits {},
        [this](const http_request& request, const std::shared_ptr<http_exchange>& exchange) { serverCalled(request, exchange); });
}

platform_world::~platform_world()
{
    m_loop.runAndWait([&] {
        m_held.clear();
        m_store.reset();
        m_server.reset();
    });
}

void platform_world::configure(int version, const std::string& service, const std::string& kind)
{
    auto document = R"({"version":"r)" + std::to_string(version) + R"(","resources":[{"type":"routes","metadata":{"name":"one"},"spec":{"host":"a.example","prefix":"/x/","kind":")"
        + kind + R"(","timeout_s":20,"target_latency_s":1,"priority":0,"service":")" + service + R"(","max_attempts":2}}]})";
    putConfiguration(document);
}

void platform_world::putConfiguration(const std::string& document)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_items[configurationKey] = { document, ++m_revision };
}

void platform_world::setStoreDown(bool down)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_down = down;
}

void platform_world::hold(bool holds)
{
    m_loop.runAndWait([&] {
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            m_holding = holds;
        }
        answerWaiting();
    });
}

http_request platform_world::waitForRuns(std::size_t count)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    m_changed.wait(lock, [&] { return m_runs.size() >= count; });
    return m_runs.back();
}

std::size_t platform_world::runs()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_runs.size();
}

// A wait for changes is answered at once, with whatever there is: the node asks again.
void platform_world::storeCalled(const http_request& request, const std::shared_ptr<http_exchange>& exchange)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    if (m_down) {
        exchange->respond({ 503, {}, "" });
        return;
    }
    Json::Value body;
    body["store_revision"] = m_revision;
    auto found = m_items.find(configurationKey);
    Json::Value item;
    if (found != m_items.end()) {
        item["key"] = configurationKey;
        item["value"] = encode(found->second.value);
        item["revision"] = found->second.revision;
    }
    if (beginsWith(request.target, "/kv-key")) {
        item["store_revision"] = m_revision;
        exchange->respond(json(found == m_items.end() ? 404 : 200, item));
    } else if (beginsWith(request.target, "/kv-watch")) {
        body["events"].append(item);
        exchange->respond(json(found == m_items.end() ? 503 : 200, body));
    } else if (beginsWith(request.target, "/kv-range")) {
        body["items"] = Json::Value(Json::arrayValue);
        exchange->respond(json(200, body));
    } else {
        body["revision"] = ++m_revision;
        exchange->respond(json(200, body));
    }
}

void platform_world::serverCalled(const http_request& request, const std::shared_ptr<http_exchange>& exchange)
{
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_runs.push_back(request);
        m_changed.notify_all();
    }
    m_held.push_back({ request, exchange });
    answerWaiting();
}

void platform_world::answerWaiting()
{
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        if (m_holding) {
            return;
        }
    }
    for (auto& [request, exchange] : std::exchange(m_held, {})) {
        exchange->respond(answerOf(request));
    }
}

http_response platform_world::answerOf(const http_request& request)
{
    http_response response;
    response.status = 200;
    response.fields = { { "Vanillashunt-Request-Id", fieldValue(request.fields, "Vanillashunt-Request-Id") }, { "Vanillashunt-Server-Seal", "seal" } };
    response.body = "the server's bytes";
    return response;
}

}
