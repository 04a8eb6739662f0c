#include "FuzzEdges/edge_inputs.h"

#include "backend/instance_answer.h"
#include "http/json_text.h"
#include "http/message_parser.h"
#include "json_rpc/json_rpc_text.h"
#include "node/poison_document.h"
#include "peer/call_codec.h"
#include "peer/gossip_codec.h"
#include "peer/quota_codec.h"
#include "platform/request_headers.h"
#include "platform/route_document.h"
#include "platform/server_report.h"

#include <boost/asio/buffer.hpp>
#include <xxhash.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>

namespace vanillashunt {

namespace {

    enum class edge : unsigned char {
        Heartbeat,
        Deregistration,
        Routes,
        Poison,
        Gossip,
        RequestFrame,
        AnswerFrame,
        FrameSearch,
        ClientBytes,
        ServerBytes,
        RpcAnswer,
        Quota,
    };

    constexpr unsigned edges = static_cast<unsigned>(edge::Quota) + 1;
    constexpr std::uint64_t maxBodyBytes = 65536;
    constexpr std::size_t datagramMagicBytes = 4;

    const std::chrono::steady_clock::time_point now { std::chrono::hours(1) };
    const poison_ledger::wall_time wallNow { std::chrono::hours(24 * 365 * 50) };

    void require(bool holds, const char* what)
    {
        if (!holds) {
            std::fprintf(stderr, "%s\n", what);
            std::abort();
        }
    }

    void readReport(const char* path, std::string_view body)
    {
        auto result = parseServerReport({ "POST", path, {}, std::string(body) });
        const auto* report = std::get_if<server_report>(&result);
        bool isReady = report && report->condition == server_condition::Ready;
        require(!isReady || (!report->service.empty() && report->slots > 0), "a server without a service or slots");
    }

    void readRoutes(std::string_view text)
    {
        auto result = parseRouteDocument(std::string(text));
        const auto* routes = std::get_if<route_configuration>(&result);
        require(!routes || routes->version > 0, "routes without a version");
        for (const auto& each : routes ? routes->routes : std::vector<route>()) {
            require(each.timeout.count() > 0 && each.targetLatency.count() >= 0, "a route without a time");
            for (const auto& part : each.destinations) {
                require(part.weight >= 0, "a part of a split with a negative weight");
            }
        }
        for (const auto& each : routes ? routes->organisations : std::vector<organisation>()) {
            require(!each.name.empty() && each.quota.ratePerSecond >= 0 && each.quota.burst >= 0, "an organisation without a name, or with a negative limit");
            require(std::count(each.keys.begin(), each.keys.end(), "") == 0, "an empty key");
        }
    }

    void readPoison(std::string_view text)
    {
        auto document = parsePoisonDocument(std::string(text));
        if (!document) {
            return;
        }
        poison_ledger ledger;
        ledger.merge(document->records, wallNow);
        auto again = parsePoisonDocument(writeJson(toJson(poison_document { 1, ledger.document(1, wallNow) })));
        require(again && again->records.size() == ledger.size(), "records that cannot be read again");
    }

    std::vector<char> magicOf(std::vector<char> datagram)
    {
        datagram.resize(datagramMagicBytes);
        return datagram;
    }

    // With the checksum that belongs to it: a damaged datagram ends there.
    std::vector<char> datagramOf(std::vector<char> bytes, std::string_view payload)
    {
        auto checksum = XXH3_64bits(payload.data(), payload.size());
        bytes.resize(datagramMagicBytes + sizeof(checksum));
        std::memcpy(bytes.data() + datagramMagicBytes, &checksum, sizeof(checksum));
        bytes.insert(bytes.end(), payload.begin(), payload.end());
        return bytes;
    }

    std::string payloadOf(const std::vector<char>& datagram)
    {
        return std::string(datagram.begin() + datagramMagicBytes + sizeof(XXH64_hash_t), datagram.end());
    }

    void readQuota(std::string_view payload)
    {
        static const auto magic = magicOf(encodeQuota({}));
        auto bytes = datagramOf(magic, payload);
        auto message = decodeQuota(bytes.data(), bytes.size());
        if (!message) {
            return;
        }
        require(message->accrual.share >= 0 && message->accrual.share <= 1 && message->accrual.time.count() >= 0, "a part that no node has");
        auto again = encodeQuota(*message);
        require(again.empty() || decodeQuota(again.data(), again.size()).has_value(), "a message on quotas that cannot be read again");
    }

    void readGossip(std::string_view payload)
    {
        static const auto magic = magicOf(encodeGossip({}));
        auto bytes = datagramOf(magic, payload);
        auto message = decodeGossip(bytes.data(), bytes.size());
        if (!message) {
            return;
        }
        auto again = encodeGossip(*message);
        require(decodeGossip(again.data(), again.size()).has_value(), "a datagram that cannot be read again");
    }

    void readRequestFrame(std::string_view payload)
    {
        frame_history history;
        auto request = decodeRequest(payload, now, history);
        if (!request) {
            return;
        }
        frame_history sender;
        frame_history receiver;
        auto frame = encodeFrame(*request, now, sender);
        require(decodeRequest(std::string_view(frame.data(), frame.size()).substr(frameHeaderBytes), now, receiver).has_value(), "a request that cannot be read again");
    }

    void readAnswerFrame(std::string_view payload)
    {
        frame_history history;
        auto answer = decodeAnswer(payload, "r", history);
        require(!answer || static_cast<int>(answer->outcome.reason) < verdictReasonCount, "a reason that does not exist");
    }

    void readFrames(std::string_view bytes)
    {
        found_frame found;
        if (findFrame(bytes, frame_kind::Request, maxBodyBytes, found) == frame_search::Found) {
            require(found.payload.size() + frameHeaderBytes <= bytes.size(), "a frame beyond its bytes");
        }
    }

    template <bool isRequest>
    void parseHttp(std::string_view bytes, message_parser<isRequest>& parser, boost::beast::error_code& error)
    {
        parser.header_limit(8192);
        parser.setMaxBodyBytes(maxBodyBytes);
        while (!bytes.empty() && !parser.is_done()) {
            auto taken = parser.put(boost::asio::buffer(bytes.data(), bytes.size()), error);
            if (error || taken == 0) {
                return;
            }
            bytes.remove_prefix(taken);
        }
    }

    void readClientBytes(std::string_view bytes)
    {
        message_parser<true> parser;
        boost::beast::error_code error;
        parseHttp(bytes, parser, error);
        if (!parser.is_done()) {
            return;
        }
        auto terms = readRequestTerms(parser.fields);
        require(!terms.remaining || terms.remaining->count() >= 0, "a deadline before the request");
        writeServerTerms(parser.fields, { std::chrono::milliseconds(1), "i-1", "desk", "guests" });
        require(fieldValue(parser.fields, "Api-Key").empty() && fieldValue(parser.fields, "Vanillashunt-Tenant") == "guests", "a key, or an organisation that the client named");
        require(fieldValue(parser.fields, "Vanillashunt-Caller-Service") == "desk", "a caller that the client named");
    }

    void readServerBytes(std::string_view bytes)
    {
        message_parser<false> parser;
        boost::beast::error_code error;
        parseHttp(bytes, parser, error);
        if (!parser.is_done()) {
            return;
        }
        auto marks = readAnswerMarks(parser.fields);
        auto answer = classifyAnswer(http_response { parser.status, parser.fields, parser.body }, marks);
        bool isSuccess = answer.outcome.run == execution::Ran && answer.status >= 200 && answer.status < 300;
        require(!isSuccess || marks.isSealed, "a success without the server's signature");
    }

    std::string with(edge which, std::string_view bytes)
    {
        return std::string(1, static_cast<char>(which)).append(bytes);
    }

    std::string frameOf(const byte_vector& frame, std::size_t from)
    {
        return std::string(frame.begin() + static_cast<std::ptrdiff_t>(from), frame.end());
    }

    call_request exampleRequest()
    {
        call_request request;
        request.callId = 7;
        request.service = "desk";
        request.callerService = "threads";
        request.method = "GET";
        request.path = "/x/1?a=b";
        request.fields = { { "Host", "a.example" } };
        request.context.requestId = "r";
        request.context.requestClass = "reads";
        request.context.deadline = now + std::chrono::seconds(1);
        return request;
    }

    std::string exampleGossip()
    {
        gossip_message message;
        message.senderId = 7;
        message.senderAddress = "192.0.2.1:7620";
        message.versions = { 3, std::chrono::milliseconds(70), 4 };
        member_update update;
        update.whole = true;
        update.entry.id = 9;
        update.entry.name = "desk-1";
        update.entry.service = "desk";
        message.updates = { update };
        return payloadOf(encodeGossip(message));
    }

    std::string exampleQuota()
    {
        quota_message message;
        message.kind = quota_kind::Ask;
        message.senderId = 7;
        message.sequence = 3;
        message.accrual = { 7, 0.01, std::chrono::milliseconds(200) };
        message.asks = { { "guests", 3, 2 } };
        message.grants = { { "guests", 1, std::chrono::milliseconds(40) } };
        return payloadOf(encodeQuota(message));
    }

    std::string examplePoison()
    {
        poison_ledger ledger;
        for (std::uint64_t start = 1; start <= poisonThreshold; ++start) {
            ledger.serverEnded(start, { fingerprintOf("/a", ""), fingerprintOf("/b", "") }, wallNow);
        }
        ledger.served(fingerprintOf("/b", ""));
        return writeJson(toJson(poison_document { 3, ledger.document(3, wallNow) }));
    }

}

void readAtEdge(std::string_view input)
{
    if (input.empty()) {
        return;
    }
    auto which = static_cast<edge>(static_cast<unsigned char>(input.front()) % edges);
    input.remove_prefix(1);
    switch (which) {
    case edge::Heartbeat:
        return readReport("/Instances.Heartbeat/i-1", input);
    case edge::Deregistration:
        return readReport("/Instances.Deregister/i-1", input);
    case edge::Routes:
        return readRoutes(input);
    case edge::Poison:
        return readPoison(input);
    case edge::Gossip:
        return readGossip(input);
    case edge::RequestFrame:
        return readRequestFrame(input);
    case edge::AnswerFrame:
        return readAnswerFrame(input);
    case edge::FrameSearch:
        return readFrames(input);
    case edge::ClientBytes:
        return readClientBytes(input);
    case edge::ServerBytes:
        return readServerBytes(input);
    case edge::RpcAnswer:
        readJsonRpcResponse(std::string(input));
        return;
    case edge::Quota:
        return readQuota(input);
    }
}

std::vector<std::string> edgeExamples()
{
    frame_history requests;
    auto request = encodeFrame(exampleRequest(), now, requests);
    frame_history answers;
    call_answer answered;
    answered.outcome = verdict::answered();
    answered.status = 200;
    answered.body = "body";
    auto answer = encodeFrame(answered, "r", answers);
    return {
        with(edge::Heartbeat, R"({"service":"desk","address":"192.0.2.1:80","zone":"a","version":"v1","capacity":8,"state":"ready","warmup_left_s":0.5,"sequence":4,"born":1800000000123})"),
        with(edge::Deregistration, R"({"born":1800000000123})"),
        with(edge::Routes, R"({"version":"r12","resources":[{"type":"routes","metadata":{"name":"one"},"spec":{"host":"a.example","prefix":"/x/","kind":"idempotent","timeout_s":2,"target_latency_s":1,"priority":0,"traffic_split":[{"service":"desk","weight":1}],"max_attempts":2,"public":true}},{"type":"tenants","metadata":{"name":"guests"},"spec":{"api_keys":["k1","k2"],"priority":1,"rate_per_s":5,"burst":5}},{"type":"services","metadata":{"name":"desk"},"spec":{}},{"type":"limits","metadata":{"name":"l"},"spec":{"max_header_bytes":8192,"max_body_bytes":65536,"header_timeout_s":2,"idle_timeout_s":9}}]})"),
        with(edge::Poison, examplePoison()),
        with(edge::Gossip, exampleGossip()),
        with(edge::RequestFrame, frameOf(request, frameHeaderBytes)),
        with(edge::AnswerFrame, frameOf(answer, frameHeaderBytes)),
        with(edge::FrameSearch, frameOf(request, 0)),
        with(edge::ClientBytes, "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nVanillashunt-Request-Id: r.1\r\nVanillashunt-Deadline-Ms: 20\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"),
        with(edge::ServerBytes, "HTTP/1.1 200 OK\r\nVanillashunt-Request-Id: r.1\r\nVanillashunt-Server-Seal: s\r\nKeep-Alive: timeout=5\r\nContent-Length: 4\r\n\r\nbody"),
        with(edge::RpcAnswer, R"({"jsonrpc":"2.0","id":1,"result":{"version":1}})"),
        with(edge::Quota, exampleQuota()),
    };
}

}
