#include "StandIn/platform_stand_in.h"

#include "StandIn/command_line.h"
#include "StandIn/gateway_json.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    constexpr std::chrono::milliseconds leaseCheckInterval(50);
    constexpr unsigned notFoundCode = 5;

}

platform_stand_in::platform_stand_in(boost::asio::io_context& io, const tcp_endpoint& endpoint)
    : m_io(io)
    , m_server(io, endpoint, [this](const http_connection::pointer& connection) { serve(connection); })
{
    checkLeases();
}

void platform_stand_in::serve(const http_connection::pointer& connection)
{
    auto path = connection->path();
    if (path.rfind("/control", 0) == 0) {
        serveControl(connection);
        return;
    }
    if (m_faults.isDown) {
        ++m_calls["refused"];
        connection->close();
        return;
    }

    struct route {
        const char* path;
        const char* counter;
        void (platform_stand_in::*serve)(const http_connection::pointer&);
    };
    static const std::vector<route> routes {
        { "/v3/kv/range", "range", &platform_stand_in::range },
        { "/v3/kv/put", "put", &platform_stand_in::put },
        { "/v3/kv/deleterange", "delete_range", &platform_stand_in::remove },
        { "/v3/kv/txn", "txn", &platform_stand_in::transact },
        { "/v3/lease/grant", "lease", &platform_stand_in::grantLease },
        { "/v3/lease/keepalive", "lease", &platform_stand_in::keepLeaseAlive },
        { "/v3/lease/revoke", "lease", &platform_stand_in::revokeLease },
        { "/v3/kv/lease/revoke", "lease", &platform_stand_in::revokeLease },
        { "/v3/watch", "watch", &platform_stand_in::startWatch },
    };
    for (const auto& each : routes) {
        if (path != each.path) {
            continue;
        }
        ++m_calls[each.counter];
        (this->*each.serve)(connection);
        return;
    }
    Json::Value body;
    body["error"] = "Not Found";
    body["code"] = notFoundCode;
    connection->answer(404, body);
}

void platform_stand_in::serveControl(const http_connection::pointer& connection)
{
    if (connection->path() == "/control/calls") {
        connection->answer(200, callCounts());
        return;
    }
    control(connection);
    connection->answer(200, Json::Value(Json::objectValue));
}

void platform_stand_in::control(const http_connection::pointer& connection)
{
    auto command = connection->json();
    if (command.isMember("delay_ms")) {
        m_faults.delay = parseMilliseconds(command["delay_ms"].asString());
    }
    if (command.isMember("lose_answers")) {
        m_faults.answersToLose = command["lose_answers"].asUInt64();
    }
    if (command.isMember("down")) {
        m_faults.isDown = command["down"].asBool();
        if (m_faults.isDown) {
            m_server.closeAllBut(connection);
        }
    }
    if (command.isMember("stale")) {
        m_faults.stale = command["stale"].asBool() ? std::optional(m_store) : std::nullopt;
    }
    if (command["lapse_leases"].asBool()) {
        endLeases(m_leases.takeLapsed(time_point::max()));
    }
    if (command["compact"].asBool()) {
        m_store.compact(m_store.revision());
    }
    deliverEvents();
}

Json::Value platform_stand_in::callCounts() const
{
    Json::Value counts;
    for (const char* name : { "range", "put", "delete_range", "txn", "lease", "watch", "refused", "lost_answers" }) {
        counts[name] = 0;
    }
    for (const auto& [name, count] : m_calls) {
        counts[name] = static_cast<Json::UInt64>(count);
    }
    counts["open_watches"] = static_cast<Json::UInt64>(m_watches.size());
    return counts;
}

void platform_stand_in::range(const http_connection::pointer& connection)
{
    const auto& source = m_faults.stale ? *m_faults.stale : m_store;
    auto body = toJson(store_result(source.range(parseRangeRequest(connection->json()))));
    body["header"] = header(source.revision());
    answer(connection, std::move(body));
}

void platform_stand_in::put(const http_connection::pointer& connection)
{
    std::vector<store_operation> operations { parsePutRequest(connection->json()) };
    if (!knowsLeases(operations)) {
        refuseUnknownLease(connection);
        return;
    }
    auto before = m_store.revision();
    auto results = m_store.apply(operations);
    answerWrite(connection, toJson(results.front()), before);
}

void platform_stand_in::remove(const http_connection::pointer& connection)
{
    auto before = m_store.revision();
    auto results = m_store.apply({ parseDeleteRequest(connection->json()) });
    answerWrite(connection, toJson(results.front()), before);
}

void platform_stand_in::transact(const http_connection::pointer& connection)
{
    auto request = parseTransaction(connection->json());
    if (!knowsLeases(request.success) || !knowsLeases(request.failure)) {
        refuseUnknownLease(connection);
        return;
    }
    auto before = m_store.revision();
    auto result = m_store.transact(request);
    Json::Value body;
    if (result.succeeded) {
        body["succeeded"] = true;
    }
    static const std::vector<std::string> names { "response_range", "response_put", "response_delete_range" };
    for (const auto& each : result.results) {
        auto response = toJson(each);
        response["header"]["revision"] = numberToJson(m_store.revision());
        Json::Value wrapped;
        wrapped[names[each.index()]] = response;
        body["responses"].append(wrapped);
    }
    answerWrite(connection, std::move(body), before);
}

void platform_stand_in::grantLease(const http_connection::pointer& connection)
{
    auto value = connection->json();
    std::chrono::seconds lifetime(parseNumber(member(value, "TTL")));
    auto id = m_leases.grant(parseNumber(member(value, "ID")), lifetime, std::chrono::steady_clock::now());
    Json::Value body;
    body["header"] = header(m_store.revision());
    body["ID"] = numberToJson(id);
    body["TTL"] = numberToJson(lifetime.count());
    answer(connection, std::move(body));
}

void platform_stand_in::keepLeaseAlive(const http_connection::pointer& connection)
{
    auto id = parseNumber(member(connection->json(), "ID"));
    auto lifetime = m_leases.keepAlive(id, std::chrono::steady_clock::now());
    Json::Value result;
    result["header"] = header(m_store.revision());
    result["ID"] = numberToJson(id);
    if (lifetime.count() > 0) {
        result["TTL"] = numberToJson(lifetime.count());
    }
    Json::Value body;
    body["result"] = result;
    answer(connection, std::move(body));
}

void platform_stand_in::revokeLease(const http_connection::pointer& connection)
{
    auto id = parseNumber(member(connection->json(), "ID"));
    if (!m_leases.revoke(id)) {
        refuseUnknownLease(connection);
        return;
    }
    endLeases({ id });
    Json::Value body;
    body["header"] = header(m_store.revision());
    answer(connection, std::move(body));
}

void platform_stand_in::startWatch(const http_connection::pointer& connection)
{
    auto create = member(connection->json(), "create_request");
    auto started = std::make_shared<watch>();
    started->connection = connection;
    started->range = parseKeyRange(create);
    started->nextRevision = parseNumber(member(create, "start_revision"));
    started->withPrevious = member(create, "prev_kv").asBool();
    if (started->nextRevision == 0) {
        started->nextRevision = m_store.revision() + 1;
    }
    callAfter(m_io, m_faults.delay, [this, started] {
        if (!started->connection->isOpen()) {
            return;
        }
        started->connection->startStream();
        Json::Value created;
        created["created"] = true;
        sendWatchResult(*started, created);
        if (started->nextRevision < m_store.compactRevision()) {
            Json::Value canceled;
            canceled["canceled"] = true;
            canceled["compact_revision"] = numberToJson(m_store.compactRevision());
            sendWatchResult(*started, canceled);
            return;
        }
        m_watches.push_back(started);
        started->connection->whenCallerLeaves([this, started] {
            m_watches.erase(std::remove(m_watches.begin(), m_watches.end(), started), m_watches.end());
        });
        deliverEvents(*started);
    });
}

void platform_stand_in::answer(const http_connection::pointer& connection, Json::Value body, unsigned status)
{
    if (m_faults.delay.count() == 0) {
        connection->answer(status, body);
        return;
    }
    callAfter(m_io, m_faults.delay, [connection, status, body = std::move(body)] { connection->answer(status, body); });
}

void platform_stand_in::answerWrite(const http_connection::pointer& connection, Json::Value body, std::int64_t revisionBefore)
{
    bool hasWritten = m_store.revision() != revisionBefore;
    if (hasWritten && m_faults.answersToLose > 0) {
        --m_faults.answersToLose;
        ++m_calls["lost_answers"];
        callAfter(m_io, m_faults.delay, [connection] { connection->close(); });
    } else {
        body["header"] = header(m_store.revision());
        answer(connection, std::move(body));
    }
    deliverEvents();
}

void platform_stand_in::refuseUnknownLease(const http_connection::pointer& connection)
{
    Json::Value body;
    body["error"] = "etcdserver: requested lease not found";
    body["message"] = body["error"];
    body["code"] = notFoundCode;
    answer(connection, std::move(body), 404);
}

bool platform_stand_in::knowsLeases(const std::vector<store_operation>& operations) const
{
    return std::all_of(operations.begin(), operations.end(), [this](const store_operation& operation) {
        const auto* write = std::get_if<put_request>(&operation);
        return !write || write->lease == 0 || m_leases.contains(write->lease);
    });
}

Json::Value platform_stand_in::header(std::int64_t revision) const
{
    Json::Value value;
    value["cluster_id"] = "1";
    value["member_id"] = "1";
    value["revision"] = numberToJson(revision);
    value["raft_term"] = "1";
    return value;
}

void platform_stand_in::endLeases(const std::vector<std::int64_t>& leases)
{
    for (auto lease : leases) {
        m_store.deleteLease(lease);
    }
    deliverEvents();
}

void platform_stand_in::checkLeases()
{
    endLeases(m_leases.takeLapsed(std::chrono::steady_clock::now()));
    callAfter(m_io, leaseCheckInterval, [this] { checkLeases(); });
}

void platform_stand_in::deliverEvents()
{
    for (const auto& each : m_watches) {
        deliverEvents(*each);
    }
}

void platform_stand_in::deliverEvents(watch& target)
{
    if (m_faults.stale || target.nextRevision > m_store.revision()) {
        return;
    }
    auto events = m_store.eventsFrom(target.nextRevision, target.range);
    target.nextRevision = m_store.revision() + 1;
    if (events.empty()) {
        return;
    }
    Json::Value result;
    for (const auto& event : events) {
        result["events"].append(toJson(event, target.withPrevious));
    }
    sendWatchResult(target, result);
}

void platform_stand_in::sendWatchResult(const watch& target, Json::Value result)
{
    result["header"] = header(m_store.revision());
    Json::Value message;
    message["result"] = std::move(result);
    target.connection->sendChunk(toLine(message) + "\n");
}

int runPlatform(int argc, char** argv)
{
    std::string listen = "127.0.0.1:0";
    parseOptions(argc, argv, { textOption("listen", listen) });

    boost::asio::io_context io(1);
    platform_stand_in platform(io, parseEndpoint(listen));
    callAtStop(io, [&io] { io.stop(); });
    Json::Value ready;
    ready["ready"] = "platform";
    ready["address"] = platform.address();
    printReady(ready);
    io.run();
    return 0;
}

}
