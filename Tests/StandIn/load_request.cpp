#include "StandIn/load_request.h"

#include <sstream>

namespace vanillashunt {

namespace {

    // What an answer's tree of bodies holds.
    struct tree_check {
        std::uint64_t size = 0;
        bool allOwn = true;
    };

    void walk(const Json::Value& node, const std::string& nonce, tree_check& check)
    {
        if (!node.isObject() || !node.isMember("nonce")) {
            return;
        }
        ++check.size;
        check.allOwn = check.allOwn && node["nonce"] == nonce;
        for (const auto& child : node["children"]) {
            walk(child, nonce, check);
        }
    }

    std::string makeName(std::mt19937_64& random)
    {
        std::ostringstream name;
        name << std::hex << random() << '-' << random();
        return name.str();
    }

    void setUnlessEmpty(http_request& request, const char* field, const std::string& value)
    {
        if (!value.empty()) {
            request.set(field, value);
        }
    }

    double toMilliseconds(std::chrono::microseconds time)
    {
        return std::chrono::duration<double, std::milli>(time).count();
    }

    Json::Value toJson(const std::vector<std::string>& words)
    {
        Json::Value list(Json::arrayValue);
        for (const auto& word : words) {
            list.append(word);
        }
        return list;
    }

}

Json::Value toJson(const load_result& result)
{
    Json::Value object;
    object["nonce"] = result.nonce;
    object["key"] = result.key;
    object["name"] = result.kind->name;
    object["customer"] = result.kind->organisation;
    object["at_ms"] = toMilliseconds(result.sent);
    object["latency_ms"] = toMilliseconds(result.latency);
    object["attempts"] = static_cast<Json::UInt64>(result.attempts);
    object["status"] = result.status;
    object["verdicts"] = toJson(result.verdicts);
    object["reasons"] = toJson(result.reasons);
    object["request_ids"] = toJson(result.requestIds);
    object["whole"] = result.isWhole;
    object["wrong"] = result.isWrong;
    return object;
}

load_request::load_request(boost::asio::io_context& io, std::shared_ptr<http_caller> caller, const load_settings& settings, const load_kind& kind, std::mt19937_64& random, handler handler)
    : m_io(io)
    , m_caller(std::move(caller))
    , m_settings(settings)
    , m_kind(kind)
    , m_random(random)
    , m_handler(std::move(handler))
{
    m_result.kind = &kind;
    m_result.nonce = makeName(random);
    if (kind.keyed) {
        m_result.key = makeName(random);
    }
}

void load_request::start(clock::time_point loadStart, clock::time_point now)
{
    m_start = now;
    m_result.sent = std::chrono::duration_cast<std::chrono::microseconds>(now - loadStart);
    attempt();
}

void load_request::attempt()
{
    ++m_result.attempts;
    const auto& target = m_settings.targets[m_random() % m_settings.targets.size()];
    auto request = makeRequest(m_kind.method, m_kind.path, target);
    auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(m_kind.timeout);
    request.set("X-Nonce", m_result.nonce);
    request.set("Vanillashunt-Timeout", std::to_string(timeout.count()) + "ms");
    request.set("Vanillashunt-Attempt", std::to_string(m_result.attempts));
    setUnlessEmpty(request, "Vanillashunt-Customer", m_kind.organisation);
    setUnlessEmpty(request, "Idempotency-Key", m_result.key);
    setUnlessEmpty(request, "Vanillashunt-Context", m_context);
    setUnlessEmpty(request, "Vanillashunt-Ticket", m_ticket);
    request.body() = std::string(m_kind.bodyBytes, '.');
    auto finished = [self = shared_from_this()](const http_outcome& outcome) { self->finishAttempt(outcome, clock::now()); };
    if (m_settings.ahead > 1) {
        m_caller->sendAhead(m_settings.ahead, target, std::move(request), m_kind.timeout, finished);
    } else {
        m_caller->send(target, std::move(request), m_kind.timeout, finished);
    }
}

void load_request::finishAttempt(const http_outcome& outcome, clock::time_point now)
{
    if (const auto* response = std::get_if<http_response>(&outcome)) {
        noteAnswer(*response);
    } else {
        m_result.status = 0;
        m_result.isWhole = false;
        m_result.verdicts.emplace_back(std::get<http_failure>(outcome).isTimeout ? "timeout" : "broken");
        m_result.reasons.push_back(std::get<http_failure>(outcome).message);
        m_result.requestIds.emplace_back();
    }
    auto wait = waitBeforeRepeat(outcome);
    if (m_result.status / 100 != 2 && mayRepeat(now, wait)) {
        callAfter(m_io, wait, [self = shared_from_this()] { self->attempt(); });
        return;
    }
    m_result.latency = std::chrono::duration_cast<std::chrono::microseconds>(now - m_start);
    m_handler(m_result);
}

void load_request::noteAnswer(const http_response& response)
{
    m_result.status = response.result_int();
    m_result.verdicts.emplace_back(response["Vanillashunt-Verdict"]);
    m_result.reasons.emplace_back(response["Vanillashunt-Reason"]);
    m_result.requestIds.emplace_back(response["Vanillashunt-Request-Id"]);
    if (response.count("Vanillashunt-Context") > 0) {
        m_context = std::string(response["Vanillashunt-Context"]);
    }
    if (response.count("Vanillashunt-Ticket") > 0) {
        m_ticket = std::string(response["Vanillashunt-Ticket"]);
    }
    checkBody(response);
}

void load_request::checkBody(const http_response& response)
{
    Json::Value body;
    std::string errors;
    std::istringstream stream(response.body());
    bool isJson = Json::parseFromStream(Json::CharReaderBuilder(), stream, &body, &errors);
    tree_check check;
    if (isJson) {
        walk(body, m_result.nonce, check);
    }
    bool isAnswer = response.result_int() / 100 == 2;
    bool hasTree = m_kind.treeSize == 0 ? check.size > 0 : check.size == m_kind.treeSize;
    m_result.isWhole = isJson && (!isAnswer || hasTree);
    m_result.isWrong = m_result.isWrong || !check.allOwn;
}

bool load_request::mayRepeat(clock::time_point now, std::chrono::microseconds wait) const
{
    if (m_result.attempts > m_settings.retries) {
        return false;
    }
    return m_settings.giveUp.count() == 0 || now + wait - m_start <= m_settings.giveUp;
}

std::chrono::microseconds load_request::waitBeforeRepeat(const http_outcome& outcome) const
{
    const auto* response = std::get_if<http_response>(&outcome);
    if (!m_settings.honourRetryAfter || !response) {
        return m_settings.retryDelay;
    }
    const std::string advised((*response)["Vanillashunt-Retry-After-Ms"]);
    char* end = nullptr;
    std::chrono::milliseconds wait(std::strtoll(advised.c_str(), &end, 10));
    return std::max<std::chrono::microseconds>(m_settings.retryDelay, wait);
}

}
