#include "store/store_client.h"

#include "store/gateway_json.h"

namespace vanillashunt {

namespace {

    constexpr unsigned statusOk = 200;

    store_range readRange(const Json::Value& value)
    {
        store_range range;
        range.revision = readInteger(value["header"]["revision"]);
        for (const auto& item : value["kvs"]) {
            auto entry = readEntry(item);
            if (!entry) {
                continue;
            }
            range.entries.push_back(std::move(*entry));
        }
        return range;
    }

    store_swap readSwap(const Json::Value& value)
    {
        store_swap swap;
        swap.succeeded = value["succeeded"].isBool() && value["succeeded"].asBool();
        swap.revision = readInteger(value["header"]["revision"]);
        for (const auto& response : value["responses"]) {
            auto range = readRange(response["response_range"]);
            swap.standing.insert(swap.standing.end(), range.entries.begin(), range.entries.end());
        }
        return swap;
    }

    Json::Value swapBody(const std::string& key, std::int64_t expectedModRevision, const std::string& value)
    {
        auto encodedKey = encodeBase64(key);
        Json::Value body;
        Json::Value& compare = body["compare"].append({});
        compare["key"] = encodedKey;
        compare["target"] = "MOD";
        compare["result"] = "EQUAL";
        compare["mod_revision"] = std::to_string(expectedModRevision);
        Json::Value& put = body["success"].append({})["request_put"];
        put["key"] = encodedKey;
        put["value"] = encodeBase64(value);
        body["failure"].append({})["request_range"]["key"] = encodedKey;
        return body;
    }

}

struct store_client::gateway_call {
    std::string path;
    std::string body;
    bool writes = false;
    std::chrono::milliseconds timeout { 0 };
    std::size_t triesLeft = 0;
    std::function<void(const Json::Value&)> answered;
    std::function<void(store_failure)> failed;
};

store_client::store_client(boost::asio::io_context& context, std::vector<std::string> endpoints, const http_client_settings& settings)
    : m_endpoints(std::move(endpoints))
    , m_client(context, settings)
{
}

void store_client::call(gateway_call request)
{
    if (request.triesLeft == 0) {
        request.failed({ false, "no endpoint of the store can be reached" });
        return;
    }
    --request.triesLeft;
    auto address = m_endpoints[m_next % m_endpoints.size()];
    http_request message { "POST", request.path, { { "Content-Type", "application/json" } }, request.body };
    auto timeout = request.timeout;
    m_client.send(address, message, timeout, [this, request = std::move(request), address](http_result result) mutable {
        if (auto* failure = std::get_if<http_failure>(&result)) {
            ++m_next;
            if (!failure->sent || !request.writes) {
                call(std::move(request));
                return;
            }
            request.failed({ true, "store at " + address + ": " + failure->message });
            return;
        }
        auto& response = std::get<http_response>(result);
        auto value = readJson(response.body);
        if (response.status != statusOk || !value.isObject()) {
            ++m_next;
            request.failed({ request.writes, "store at " + address + " answered status " + std::to_string(response.status) });
            return;
        }
        request.answered(value);
    });
}

namespace {

    Json::Value rangeBody(const std::string& prefix)
    {
        Json::Value body;
        body["key"] = encodeBase64(prefix);
        body["range_end"] = encodeBase64(prefixEnd(prefix));
        return body;
    }

}

void store_client::rangePrefix(const std::string& prefix, std::chrono::milliseconds timeout, const range_handler& handler)
{
    range(rangeBody(prefix), timeout, handler);
}

void store_client::rangeChangedAfter(const std::string& prefix, std::int64_t revision, std::chrono::milliseconds timeout, const range_handler& handler)
{
    auto body = rangeBody(prefix);
    body["min_mod_revision"] = std::to_string(revision + 1);
    range(body, timeout, handler);
}

void store_client::range(const Json::Value& body, std::chrono::milliseconds timeout, const range_handler& handler)
{
    gateway_call request { "/v3/kv/range", writeJson(body), false, timeout, m_endpoints.size(), nullptr, nullptr };
    request.answered = [handler](const Json::Value& value) { handler(readRange(value)); };
    request.failed = [handler](store_failure failure) { handler(std::move(failure)); };
    call(std::move(request));
}

void store_client::swap(const std::string& key, std::int64_t expectedModRevision, const std::string& value, std::chrono::milliseconds timeout, const swap_handler& handler)
{
    auto body = writeJson(swapBody(key, expectedModRevision, value));
    gateway_call request { "/v3/kv/txn", body, true, timeout, m_endpoints.size(), nullptr, nullptr };
    request.answered = [handler](const Json::Value& answer) { handler(readSwap(answer)); };
    request.failed = [handler](store_failure failure) { handler(std::move(failure)); };
    call(std::move(request));
}

}
