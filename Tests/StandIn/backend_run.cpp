#include "StandIn/backend_run.h"

#include <sstream>

namespace vanillashunt {

namespace {

    // An onward call ends with its run; this bounds a node that never answers.
    constexpr std::chrono::minutes onwardTimeout(10);

    // Fields that an onward call carries on from its request.
    const char* const copiedFields[] = { "Vanillashunt-Context", "X-Nonce" };

    Json::Value describe(const call_spec& call, const http_outcome& outcome)
    {
        Json::Value failure;
        failure["call"] = call.label;
        failure["service"] = call.service;
        if (const auto* response = std::get_if<http_response>(&outcome)) {
            failure["status"] = response->result_int();
            failure["verdict"] = std::string((*response)["Vanillashunt-Verdict"]);
            failure["reason"] = std::string((*response)["Vanillashunt-Reason"]);
        } else {
            failure["error"] = std::get<http_failure>(outcome).message;
        }
        return failure;
    }

}

backend_run::backend_run(run_environment environment, http_request request, std::vector<call_spec> calls, handler handler)
    : m_environment(std::move(environment))
    , m_request(std::move(request))
    , m_calls(std::move(calls))
    , m_handler(std::move(handler))
{
}

void backend_run::start()
{
    if (m_environment.isPaused()) {
        m_isWaiting = true;
        return;
    }
    work([self = shared_from_this()] { self->callOnward(); });
}

void backend_run::resume()
{
    if (m_isWaiting && !m_environment.isPaused()) {
        m_isWaiting = false;
        start();
    }
}

void backend_run::cancel()
{
    m_isCancelled = true;
    for (const auto& each : m_underWay) {
        each->cancel();
    }
    if (m_isWaiting || !m_underWay.empty()) {
        finish(run_outcome::Cancelled);
    }
}

void backend_run::work(std::function<void()> next)
{
    callAfter(m_environment.io, m_environment.halfServiceTime(), [self = shared_from_this(), next = std::move(next)] {
        if (self->m_isCancelled) {
            self->finish(run_outcome::Cancelled);
            return;
        }
        next();
    });
}

void backend_run::callOnward()
{
    m_children.resize(static_cast<Json::ArrayIndex>(m_calls.size()));
    m_callsLeft = m_calls.size();
    if (m_calls.empty()) {
        work([self = shared_from_this()] { self->finish(run_outcome::Answered); });
        return;
    }
    auto startedAtOnce = m_environment.parallel ? m_calls.size() : 1;
    for (std::size_t index = 0; index < startedAtOnce; ++index) {
        startCall(index);
    }
}

void backend_run::startCall(std::size_t index)
{
    const auto& call = m_calls[index];
    auto request = makeRequest(call.method, "/" + call.service + call.path, m_environment.nodeCaller);
    for (const auto* field : copiedFields) {
        if (m_request.count(field) > 0) {
            request.set(field, m_request[field]);
        }
    }
    m_underWay.push_back(m_environment.caller->send(m_environment.nodeCaller, std::move(request), onwardTimeout,
        [self = shared_from_this(), index](const http_outcome& outcome) { self->finishCall(index, outcome); }));
}

void backend_run::finishCall(std::size_t index, const http_outcome& outcome)
{
    const auto* response = std::get_if<http_response>(&outcome);
    if (!response || response->result_int() / 100 != 2) {
        for (const auto& each : m_underWay) {
            each->cancel();
        }
        m_children = describe(m_calls[index], outcome);
        finish(run_outcome::Failed);
        return;
    }
    std::istringstream stream(response->body());
    std::string errors;
    if (!Json::parseFromStream(Json::CharReaderBuilder(), stream, &m_children[static_cast<Json::ArrayIndex>(index)], &errors)) {
        m_children[static_cast<Json::ArrayIndex>(index)] = "no JSON: " + errors;
    }
    --m_callsLeft;
    if (m_callsLeft == 0) {
        m_underWay.clear();
        work([self = shared_from_this()] { self->finish(run_outcome::Answered); });
    } else if (!m_environment.parallel) {
        startCall(index + 1);
    }
}

void backend_run::finish(run_outcome outcome)
{
    m_underWay.clear();
    if (auto handler = std::exchange(m_handler, nullptr)) {
        handler(outcome, m_children);
    }
}

}
