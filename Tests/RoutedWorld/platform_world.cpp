#include "RoutedWorld/platform_world.h"

#include "http/json_text.h"
#include "store/gateway_json.h"

#include <json/value.h>

namespace vanillashunt {

namespace {

    constexpr const char* configurationKey = "op/config";

    // How long a wait without a change lasts: short, since the node asks again.
    constexpr std::chrono::milliseconds emptyWait { 50 };

    // The value of one name in the query of a target; the names end with "=".
    std::string queryValue(const std::string& target, const std::string& name)
    {
        auto place = target.find(name + "=", target.find('?'));
        if (place == std::string::npos) {
            return "";
        }
        place += name.size() + 1;
        return target.substr(place, target.find('&', place) - place);
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
        m_silent.clear();
        m_furtherStores.clear();
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

void platform_world::configureWithHealthPath(int version, const std::string& service)
{
    putConfiguration(R"({"version":"r)" + std::to_string(version) + R"(","resources":[{"type":"routes","metadata":{"name":"one"},"spec":{"host":"a.example","prefix":"/x/","kind":"idempotent","timeout_s":20,"target_latency_s":1,"priority":0,"service":")"
        + service + R"(","max_attempts":2}},{"type":"services","metadata":{"name":")" + service + R"("},"spec":{"health_check_path":"/health","max_connections":100}}]})");
}

void platform_world::putConfiguration(const std::string& document)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_items[configurationKey] = { document, ++m_revision };
}

void platform_world::setHealthAnswer(unsigned status, const std::string& instance)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_healthAnswer = { status, { { "Vanillashunt-Instance-Id", instance } }, {} };
}

void platform_world::takeCopy()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_copy = m_items;
    m_copyRevision = m_revision;
}

void platform_world::returnToCopy()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_items = m_copy;
    m_revision = m_copyRevision;
    m_eraText = std::to_string(++m_era);
}

void platform_world::setEraText(const std::string& text)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_eraText = text;
}

std::string platform_world::valueOf(const std::string& key)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    auto found = m_items.find(key);
    return found == m_items.end() ? "" : found->second.value;
}

http_response platform_world::json(unsigned status, const Json::Value& body) const
{
    http_response response { status, { { "Content-Type", "application/json" } }, writeJson(body) };
    if (!m_eraText.empty()) {
        response.fields.push_back({ "Store-Era", m_eraText });
    }
    return response;
}

std::size_t platform_world::changeCalls(const std::string& key)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_changeCalls[key];
}

void platform_world::setStoreDown(bool down)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_down = down;
}

void platform_world::setInstance(const std::string& instance)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_instance = instance;
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

std::string platform_world::addStoreAddress()
{
    std::string address;
    m_loop.runAndWait([&] {
        auto number = m_furtherStores.size();
        m_furtherStores.push_back(std::make_unique<http_server>(m_loop.context, "127.0.0.1:0", http_server_limits {},
            [this, number](const http_request& request, const std::shared_ptr<http_exchange>& exchange) { storeCalledAt(m_furtherStores[number]->address(), request, exchange); }));
        address = m_furtherStores.back()->address();
    });
    return address;
}

void platform_world::refuseAt(const std::string& storeAddress, store_refusal refusal)
{
    m_loop.runAndWait([&] { m_refusals[storeAddress] = refusal; });
}

std::set<std::string> platform_world::takeWatchedAddresses()
{
    std::set<std::string> result;
    m_loop.runAndWait([&] { result = std::exchange(m_watchedAddresses, {}); });
    return result;
}

void platform_world::storeCalledAt(const std::string& storeAddress, const http_request& request, const std::shared_ptr<http_exchange>& exchange)
{
    if (beginsWith(request.target, "/kv-watch") && queryValue(request.target, "prefix") == configurationKey) {
        m_watchedAddresses.insert(storeAddress);
    }
    switch (m_refusals[storeAddress]) {
    case store_refusal::None:
        storeCalled(request, exchange);
        return;
    case store_refusal::Unavailable:
        exchange->respond({ 503, {}, "" });
        return;
    case store_refusal::TooMany:
        exchange->respond({ 429, {}, "" });
        return;
    case store_refusal::Closed:
        // The session ends with its exchange.
        return;
    case store_refusal::Silent:
        m_silent.push_back(exchange);
    }
}

// A wait for changes of the configuration is answered at once, with whatever there is: the
// node asks again. One for another key is answered by a change or, without, a moment later.
void platform_world::storeCalled(const http_request& request, const std::shared_ptr<http_exchange>& exchange)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    if (m_down) {
        exchange->respond({ 503, {}, "" });
        return;
    }
    if (beginsWith(request.target, "/kv-key")) {
        exchange->respond(readKey(queryValue(request.target, "key")));
    } else if (beginsWith(request.target, "/kv-watch")) {
        answerWait(request.target, exchange);
    } else if (beginsWith(request.target, "/kv-range")) {
        Json::Value body;
        body["store_revision"] = m_revision;
        body["items"] = Json::Value(Json::arrayValue);
        exchange->respond(json(200, body));
    } else {
        exchange->respond(change(readJson(request.body)));
    }
}

Json::Value platform_world::itemOf(const std::string& key) const
{
    Json::Value body;
    auto found = m_items.find(key);
    if (found != m_items.end()) {
        body["key"] = key;
        body["value"] = encodeBase64(found->second.value);
        body["revision"] = found->second.revision;
    }
    return body;
}

http_response platform_world::readKey(const std::string& key) const
{
    auto body = itemOf(key);
    unsigned status = body.isNull() ? 404 : 200;
    body["store_revision"] = m_revision;
    return json(status, body);
}

void platform_world::answerWait(const std::string& target, const std::shared_ptr<http_exchange>& exchange)
{
    auto key = queryValue(target, "prefix");
    auto item = itemOf(key);
    if (std::stoi(queryValue(target, "after")) > m_revision) {
        exchange->respond(json(410, Json::Value(Json::objectValue)));
        return;
    }
    Json::Value body;
    body["store_revision"] = m_revision;
    body["events"] = Json::Value(Json::arrayValue);
    if (key == configurationKey) {
        body["events"].append(item);
        exchange->respond(json(item.isNull() ? 503 : 200, body));
        return;
    }
    if (!item.isNull() && item["revision"].asInt() > std::stoi(queryValue(target, "after"))) {
        body["events"].append(item);
        exchange->respond(json(200, body));
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(m_loop.context, emptyWait);
    timer->async_wait([timer, exchange, response = json(200, body)](boost::system::error_code) { exchange->respond(response); });
}

http_response platform_world::change(const Json::Value& call)
{
    Json::Value body;
    for (const auto& put : call["puts"]) {
        ++m_changeCalls[put["key"].asString()];
    }
    for (const auto& condition : call["precondition"]) {
        auto item = itemOf(condition["key"].asString());
        if (item["revision"].asInt() != condition["revision"].asInt()) {
            body["items"].append(item);
            return json(412, body);
        }
    }
    body["revision"] = ++m_revision;
    for (const auto& put : call["puts"]) {
        m_items[put["key"].asString()] = { decodeBase64(put["value"].asString()).value(), m_revision };
    }
    return json(200, body);
}

void platform_world::serverCalled(const http_request& request, const std::shared_ptr<http_exchange>& exchange)
{
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        if (request.target == "/health") {
            exchange->respond(m_healthAnswer);
            return;
        }
        auto expected = fieldValue(request.fields, "Vanillashunt-Expect-Instance");
        if (!m_instance.empty() && !expected.empty() && expected != m_instance) {
            exchange->respond({ 421, { { "Vanillashunt-Request-Id", fieldValue(request.fields, "Vanillashunt-Request-Id") } }, "" });
            return;
        }
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
