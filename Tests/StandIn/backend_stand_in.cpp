#include "StandIn/backend_stand_in.h"

#include "StandIn/command_line.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    // How much longer the very first request takes than a later one.
    constexpr double coldStartSlowdown = 4;

    // The server leaves once this many checks in a row found nothing running, so
    // that a request on its way still gets its answer.
    constexpr std::size_t quietChecksToLeave = 5;
    constexpr std::chrono::milliseconds quietCheckInterval(20);

    Json::Value announcementBody(const backend_settings& settings, const std::string& address)
    {
        Json::Value body;
        body["service"] = settings.service;
        body["address"] = address;
        body["slots"] = static_cast<Json::UInt64>(settings.slots);
        body["connections"] = static_cast<Json::UInt64>(settings.connections);
        body["cold_start_ms"] = static_cast<Json::Int64>(std::chrono::duration_cast<std::chrono::milliseconds>(settings.coldStart).count());
        body["load_path"] = "/load";
        body["health_path"] = "/health";
        return body;
    }

    tcp_endpoint nodeCallerOf(const backend_settings& settings)
    {
        return settings.nodeCaller.empty() ? tcp_endpoint {} : parseEndpoint(settings.nodeCaller);
    }

    const char* toString(run_outcome outcome)
    {
        switch (outcome) {
        case run_outcome::Answered:
            return "answered";
        case run_outcome::Failed:
            return "failed";
        case run_outcome::Cancelled:
            return "cancelled";
        }
        return "";
    }

}

backend_stand_in::backend_stand_in(boost::asio::io_context& io, const backend_settings& settings)
    : m_io(io)
    , m_settings(settings)
    , m_server(io, parseEndpoint(settings.listen), [this](const http_connection::pointer& connection) { serve(connection); })
    , m_caller(std::make_shared<http_caller>(io))
    , m_announcement(io, m_caller, settings.nodeBackend, announcementBody(settings, m_server.address()))
    , m_log(settings.logFile)
    , m_load(settings.slots)
    , m_random(settings.seed)
{
    m_server.setConnectionLimit(settings.connections);
}

void backend_stand_in::start()
{
    m_startTime = std::chrono::steady_clock::now();
    m_announcement.start();
}

void backend_stand_in::serve(const http_connection::pointer& connection)
{
    if (serveControl(connection)) {
        return;
    }
    if (connection->isSurplus) {
        ++m_counters.surplusClosed;
        connection->close();
        return;
    }
    take(connection);
}

bool backend_stand_in::serveControl(const http_connection::pointer& connection)
{
    auto path = connection->path();
    Json::Value body(Json::objectValue);
    if (path == "/load") {
        body["in_flight"] = static_cast<Json::UInt64>(m_load.reported(std::chrono::steady_clock::now()));
        body["slots"] = static_cast<Json::UInt64>(m_settings.slots);
        connection->answer(200, body);
    } else if (path == "/health") {
        connection->answer(m_isUnhealthy ? 503 : 200, body);
    } else if (path == "/control/runs") {
        connection->answer(200, runsJson());
    } else if (path == "/control") {
        control(connection->json());
        connection->answer(200, body);
    } else {
        return false;
    }
    return true;
}

void backend_stand_in::control(const Json::Value& command)
{
    if (command.isMember("service_ms")) {
        m_settings.serviceTime = parseMilliseconds(command["service_ms"].asString());
    }
    if (command.isMember("load_lies")) {
        m_load.setLie(command["load_lies"].asString());
    }
    if (command.isMember("load_lag_ms")) {
        m_load.setLag(parseMilliseconds(command["load_lag_ms"].asString()));
    }
    if (command.isMember("unhealthy")) {
        m_isUnhealthy = command["unhealthy"].asBool();
    }
    if (command.isMember("shed")) {
        m_settings.shed = command["shed"].asBool();
    }
    if (command.isMember("pause_after_start")) {
        m_isPaused = command["pause_after_start"].asBool();
        for (const auto& run : m_running) {
            run->resume();
        }
    }
    if (command.isMember("drain")) {
        if (command["drain"].asBool()) {
            m_announcement.drain([] {});
        } else {
            m_announcement.start();
        }
    }
}

Json::Value backend_stand_in::runsJson() const
{
    Json::Value body;
    body["runs"] = m_log.toJson();
    body["running"] = static_cast<Json::UInt64>(m_running.size());
    body["queued"] = static_cast<Json::UInt64>(m_queue.size());
    body["shed"] = static_cast<Json::UInt64>(m_counters.shed);
    body["dropped_from_queue"] = static_cast<Json::UInt64>(m_counters.dropped);
    body["surplus_closed"] = static_cast<Json::UInt64>(m_counters.surplusClosed);
    return body;
}

void backend_stand_in::take(const http_connection::pointer& connection)
{
    if (m_running.size() < m_settings.slots) {
        startRun(connection);
        return;
    }
    if (m_settings.shed) {
        shed(connection);
        return;
    }
    m_queue.push_back(connection);
    recordLoad();
    connection->whenCallerLeaves([this, connection] {
        ++m_counters.dropped;
        m_queue.erase(std::remove(m_queue.begin(), m_queue.end(), connection), m_queue.end());
        recordLoad();
    });
}

void backend_stand_in::shed(const http_connection::pointer& connection)
{
    ++m_counters.shed;
    http_response response(http::status::service_unavailable, 11);
    response.set("Vanillashunt-Verdict", "not_run");
    response.set("Vanillashunt-Reason", "overload");
    response.set(http::field::content_type, "application/json");
    response.body() = "{}";
    connection->answer(std::move(response));
}

void backend_stand_in::startQueued()
{
    while (!m_queue.empty() && m_running.size() < m_settings.slots) {
        auto connection = m_queue.front();
        m_queue.pop_front();
        startRun(connection);
    }
}

void backend_stand_in::startRun(const http_connection::pointer& connection)
{
    const auto& request = connection->request();
    auto path = connection->path();
    run_record record;
    record.requestId = std::string(request["Vanillashunt-Request-Id"]);
    record.nonce = std::string(request["X-Nonce"]);
    record.idempotencyKey = std::string(request["Idempotency-Key"]);
    record.attempt = std::string(request["Vanillashunt-Attempt"]);
    record.organisation = std::string(request["Vanillashunt-Customer"]);
    record.method = std::string(request.method_string());
    record.path = path;
    record.start = std::chrono::system_clock::now();
    auto number = m_log.start(record);

    run_environment environment { m_io, m_caller, nodeCallerOf(m_settings), m_settings.parallel,
        [this] { return halfServiceTime(); }, [this] { return m_isPaused; } };
    auto holder = std::make_shared<std::weak_ptr<backend_run>>();
    auto run = std::make_shared<backend_run>(environment, request, callsFor(m_settings.callRules, path),
        [this, holder, connection, number](run_outcome outcome, const Json::Value& children) {
            finishRun(holder->lock(), connection, number, outcome, children);
        });
    *holder = run;
    m_running.insert(run);
    recordLoad();
    connection->whenCallerLeaves([holder] {
        if (auto left = holder->lock()) {
            left->cancel();
        }
    });
    run->start();
}

void backend_stand_in::finishRun(const std::shared_ptr<backend_run>& run, const http_connection::pointer& connection, std::size_t number, run_outcome outcome, const Json::Value& children)
{
    m_log.end(number, toString(outcome), std::chrono::system_clock::now());
    if (outcome == run_outcome::Answered) {
        connection->answer(200, answerBody(run->request(), children));
    } else if (outcome == run_outcome::Failed) {
        auto body = answerBody(run->request(), Json::Value(Json::arrayValue));
        body["failed_call"] = children;
        connection->answer(502, body);
    }
    m_running.erase(run);
    startQueued();
    recordLoad();
}

Json::Value backend_stand_in::answerBody(const http_request& request, const Json::Value& children) const
{
    Json::Value body;
    body["service"] = m_settings.service;
    body["server"] = m_settings.server;
    body["request_id"] = std::string(request["Vanillashunt-Request-Id"]);
    body["nonce"] = std::string(request["X-Nonce"]);
    if (m_settings.answerBytes > 0) {
        body["padding"] = std::string(m_settings.answerBytes, '.');
    }
    body["children"] = children;
    return body;
}

void backend_stand_in::recordLoad()
{
    m_load.record(m_running.size() + m_queue.size(), std::chrono::steady_clock::now());
}

std::chrono::microseconds backend_stand_in::halfServiceTime()
{
    double factor = coldStartFactor(std::chrono::steady_clock::now()) / 2;
    if (m_settings.serviceDistribution == "exponential") {
        factor *= std::exponential_distribution<double>(1)(m_random);
    }
    return std::chrono::duration_cast<std::chrono::microseconds>(m_settings.serviceTime * factor);
}

double backend_stand_in::coldStartFactor(std::chrono::steady_clock::time_point now) const
{
    auto age = now - m_startTime;
    if (age >= m_settings.coldStart) {
        return 1;
    }
    double left = 1 - std::chrono::duration<double>(age) / std::chrono::duration<double>(m_settings.coldStart);
    return 1 + left * (coldStartSlowdown - 1);
}

void backend_stand_in::leave(std::function<void()> done)
{
    m_announcement.drain([this, done = std::move(done)] {
        waitUntilIdle([this, done] { m_announcement.withdraw(done); }, quietChecksToLeave);
    });
}

void backend_stand_in::waitUntilIdle(std::function<void()> done, std::size_t quietChecks)
{
    if (quietChecks == 0) {
        done();
        return;
    }
    callAfter(m_io, quietCheckInterval, [this, done = std::move(done), quietChecks] {
        bool isIdle = m_running.empty() && m_queue.empty();
        waitUntilIdle(done, isIdle ? quietChecks - 1 : quietChecksToLeave);
    });
}

int runBackend(int argc, char** argv)
{
    auto settings = parseBackendSettings(argc, argv);
    boost::asio::io_context io(1);
    backend_stand_in backend(io, settings);
    callAtStop(io, [&] { backend.leave([&io] { io.stop(); }); });
    backend.start();
    Json::Value ready;
    ready["ready"] = "backend";
    ready["address"] = backend.address();
    ready["service"] = settings.service;
    ready["server"] = settings.server;
    printReady(ready);
    io.run();
    return 0;
}

}
