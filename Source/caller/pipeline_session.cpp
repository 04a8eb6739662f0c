#include "caller/pipeline_session.h"

#include "budget/grant_handler.h"
#include "http/peer_close.h"

#include <algorithm>
#include <array>

namespace vanillashunt {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

    constexpr unsigned statusBadRequest = 400;
    constexpr unsigned statusRequestTimeout = 408;
    constexpr unsigned statusTooLarge = 413;
    constexpr unsigned statusHeaderTooLarge = 431;
    constexpr unsigned statusUnavailable = 503;
    constexpr unsigned statusNoContent = 204;
    constexpr unsigned statusNotModified = 304;

    // Maximum number of requests of one connection that are processed concurrently; further ones stay in
    // the socket buffer.
    constexpr std::size_t maxExchanges = 32;

    // Maximum number of bytes that are read ahead while no request is accepted; more stay in the socket
    // buffer.
    constexpr std::size_t maxReadAheadBytes = 2048;

    // Limits the bytes that are received and not parsed, such as those of a chunk header without end.
    constexpr std::size_t maxUnparsedBytes = 65536;

    // Answers are sent together up to this size, so that each large one has the time limit to itself.
    constexpr std::size_t maxBatchBytes = 65536;

    // A body up to this size is copied behind its header, to be sent as one buffer.
    constexpr std::size_t maxCopiedBytes = 16384;

    // How long a client may take to read what is sent at once, and to close its side of the connection.
    constexpr std::chrono::milliseconds sendTimeout { 10000 };
    constexpr std::chrono::milliseconds lingerTimeout { 2000 };

    constexpr const char* memoryRetryAfterSeconds = "0.5";

    // Removes the fields that the Connection field declares as hop-by-hop, except for Host.
    void removeHopByHop(http_fields& fields, const std::string& connectionField)
    {
        for (const auto& token : http::token_list { connectionField }) {
            auto name = std::string(token);
            auto isNamed = [&name](const http_field& field) { return equalIgnoringCase(field.name, name) && !equalIgnoringCase(name, "Host"); };
            fields.erase(std::remove_if(fields.begin(), fields.end(), isNamed), fields.end());
        }
    }

}

class pipeline_session::exchange : public http_exchange {
public:
    exchange(const std::shared_ptr<pipeline_session>& session, bool keepAlive, bool headRequest)
        : closes(!keepAlive)
        , isHeadRequest(headRequest)
        , m_session(session)
    {
    }

    void respond(http_response value) override
    {
        if (answered) {
            return;
        }
        answered = true;
        response = std::move(value);
        m_whenGone = nullptr;
        if (auto session = m_session.lock()) {
            session->advance();
        }
    }

    void setDisconnectHandler(std::function<void()> callback) override
    {
        if (m_isClientGone) {
            callback();
            return;
        }
        m_whenGone = std::move(callback);
    }

    void clientGone()
    {
        answered = true;
        m_isClientGone = true;
        if (auto callback = std::exchange(m_whenGone, nullptr)) {
            callback();
        }
    }

    http_response response;
    bool answered = false;
    bool closes;
    bool isHeadRequest;

private:
    std::weak_ptr<pipeline_session> m_session;
    std::function<void()> m_whenGone;
    bool m_isClientGone = false;
};

pipeline_session::pipeline_session(tcp::socket socket, std::shared_ptr<pipeline_server::state> server)
    : m_stream(std::move(socket))
    , m_server(std::move(server))
    , m_firstRequest(std::chrono::steady_clock::now())
{
}

void pipeline_session::start()
{
    m_server->sessions.insert(shared_from_this());
    ++m_server->counts.connections;
    enter(stage::Idle);
    read();
}

void pipeline_session::enter(stage next)
{
    m_stage = next;
    m_stageEntered = std::chrono::steady_clock::now();
}

std::chrono::milliseconds pipeline_session::timeLimit(stage currentStage) const
{
    auto limits = m_server->hooks.limits();
    switch (currentStage) {
    case stage::Idle:
        return limits.idleTimeout;
    case stage::Header:
        return limits.headerTimeout;
    case stage::Body:
        return limits.idleTimeout;
    case stage::Answering:
        return std::chrono::milliseconds::max();
    case stage::Lingering:
        break;
    }
    return lingerTimeout;
}

void pipeline_session::enforceTimeouts(time_point now)
{
    if (m_closed) {
        return;
    }
    // Without an outstanding read nothing else reports that the client has left.
    if (!m_reading && isClosedByPeer(m_stream.socket())) {
        clientGone(connection_loss_cause::ClientClosed);
        return;
    }
    if (m_writing && now - m_writeStarted >= sendTimeout) {
        clientGone(connection_loss_cause::AnswerNotRead);
        return;
    }
    auto limit = timeLimit(m_stage);
    if (limit == std::chrono::milliseconds::max() || now - m_stageEntered < limit) {
        return;
    }
    if (m_stage == stage::Header || m_stage == stage::Body) {
        ++m_server->counts.tooSlow;
        reject(statusRequestTimeout, "the request did not arrive in time");
        return;
    }
    clientGone(connection_loss_cause::AnswerNotRead);
}

// Whether no further request is accepted before one is answered.
bool pipeline_session::isFull() const
{
    return m_exchanges.size() >= maxExchanges;
}

bool pipeline_session::isPaused() const
{
    return isFull() || (!canAcceptRequest() && m_stream.bytes().size() >= maxReadAheadBytes);
}

void pipeline_session::read()
{
    if (m_reading || m_closed || m_waitsForRoom || isPaused() || !hasRoom()) {
        return;
    }
    bool readsAhead = !m_exchanges.empty() && !(m_parser && m_parser->is_header_done());
    if (readsAhead) {
        // What follows the last request that is accepted stays in the socket buffer.
        m_stream.shortenNextRead();
    }
    m_reading = true;
    m_stream.read([self = shared_from_this()](const error_code& error) {
        self->m_reading = false;
        self->bytesArrived(error);
    });
}

// Asks for room for the next part of a request.
bool pipeline_session::hasRoom()
{
    if (!m_parser) {
        return true;
    }
    auto grant = m_parser->reserveNextPart(m_room, m_stream.received().size(), std::chrono::steady_clock::now(), grantHandler(weak_from_this(), &pipeline_session::roomDecided));
    m_waitsForRoom = grant == byte_grant::Waiting;
    if (grant == byte_grant::Refused) {
        rejectWithoutRoom();
    }
    return grant == byte_grant::Granted;
}

void pipeline_session::roomDecided(byte_grant grant)
{
    m_waitsForRoom = false;
    if (m_closed || !m_parser) {
        return;
    }
    if (grant == byte_grant::Refused) {
        rejectWithoutRoom();
        return;
    }
    read();
}

void pipeline_session::rejectWithoutRoom()
{
    ++m_server->counts.noRoom;
    reject(statusUnavailable, "the node has no memory for the request at present", { { "Retry-After", memoryRetryAfterSeconds } });
}

void pipeline_session::bytesArrived(const error_code& error)
{
    if (m_closed) {
        return;
    }
    bool isCancelled = error == asio::error::operation_aborted && m_stage == stage::Lingering;
    if (error && !isCancelled) {
        clientGone(connection_loss_cause::ClientClosed);
        return;
    }
    advance();
}

// Accepts requests and sends answers until either has to wait. A request that is answered while it is
// handed over, and a write that completes at once, are continued by this loop and not by a nested call,
// so that the stack does not grow with the number of requests.
void pipeline_session::advance()
{
    if (std::exchange(m_advancing, true)) {
        return;
    }
    while (acceptRequest() || sendAnswers()) { }
    m_advancing = false;
    read();
}

// While the server stops, no request is accepted after an unanswered one. Its answer would have to wait
// for the answer to the earlier request, which may come after the stop has ended. The client retries it
// on another node.
bool pipeline_session::canAcceptRequest() const
{
    if (m_closed || m_closing || isFull()) {
        return false;
    }
    return !m_server->closingAfterAnswers || m_exchanges.empty();
}

// Returns whether a request was accepted or rejected.
bool pipeline_session::acceptRequest()
{
    if (m_closing) {
        discardReceived();
        return false;
    }
    return canAcceptRequest() && m_stream.received().size() > 0 && parse();
}

// Bytes after the last accepted request are not parsed.
void pipeline_session::discardReceived()
{
    m_stream.received().consume(m_stream.received().size());
}

// Returns whether a request was completed or rejected.
bool pipeline_session::parse()
{
    if (!m_parser) {
        beginParser();
    }
    while (m_stream.received().size() > 0 && !m_parser->is_done()) {
        error_code error;
        auto used = m_parser->put(m_stream.received().data(), error);
        m_stream.received().consume(used);
        if (error == http::error::need_more) {
            if (m_stream.received().size() < std::max<std::size_t>(maxUnparsedBytes, m_server->hooks.limits().maxHeaderBytes)) {
                break;
            }
            // A chunk header or trailer fields; the parser limits the header.
            error = http::error::header_limit;
        }
        if (error) {
            rejectUnparsable(error);
            return true;
        }
    }
    if (m_parser->is_done()) {
        requestComplete();
        return true;
    }
    if (m_parser->is_header_done()) {
        // The time limit of a body restarts whenever a part of it arrives.
        enter(stage::Body);
    }
    return false;
}

void pipeline_session::beginParser()
{
    auto limits = m_server->hooks.limits();
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(limits.maxHeaderBytes);
    m_parser->setMaxBodyBytes(limits.maxBodyBytes);
    m_room = byte_reservation(m_server->hooks.budget, byte_place::Caller);
    m_firstRequest.arrived();
    enter(stage::Header);
}

void pipeline_session::requestComplete()
{
    bool isUnambiguous = m_parser->hasSupportedFraming && m_parser->hosts == 1;
    if (!isUnambiguous) {
        ++m_server->counts.malformed;
        reject(statusBadRequest, "the request must have exactly one Host field, and its body a known length or chunked encoding");
        return;
    }
    if (!m_room.completeIfRoom(m_parser->heldBytes() + requestStateBytes)) {
        rejectWithoutRoom();
        return;
    }
    http_request request { std::move(m_parser->method), std::move(m_parser->target), std::move(m_parser->fields), message_body(std::move(m_parser->body), std::move(m_room)) };
    if (!m_parser->connection.empty()) {
        removeHopByHop(request.fields, m_parser->connection);
    }
    auto next = std::make_shared<exchange>(shared_from_this(), m_parser->keep_alive(), request.method == "HEAD");
    m_parser.reset();
    m_closing = m_closing || next->closes;
    m_exchanges.push_back(next);
    enter(stage::Answering);
    if (isFull()) {
        ++m_server->counts.filled;
        if (m_server->hooks.connectionFull) {
            m_server->hooks.connectionFull(m_exchanges.size());
        }
    }
    m_server->hooks.request(std::move(request), next);
}

void pipeline_session::rejectUnparsable(const error_code& error)
{
    if (error == http::error::header_limit) {
        ++m_server->counts.tooLarge;
        reject(statusHeaderTooLarge, "the header exceeds the size limit of the configuration");
    } else if (error == http::error::body_limit) {
        ++m_server->counts.tooLarge;
        reject(statusTooLarge, "the body exceeds the size limit of the configuration");
    } else {
        ++m_server->counts.malformed;
        reject(statusBadRequest, "the request cannot be parsed: " + error.message());
    }
}

// Answers a request that was not accepted, after all earlier ones. No further request is parsed.
void pipeline_session::reject(unsigned status, const std::string& reason, http_fields furtherFields)
{
    m_parser.reset();
    m_room = {};
    m_closing = true;
    auto rejected = std::make_shared<exchange>(shared_from_this(), false, false);
    m_exchanges.push_back(rejected);
    enter(stage::Answering);
    furtherFields.push_back({ "Content-Type", "text/plain" });
    rejected->respond({ status, std::move(furtherFields), reason + "\n" });
}

namespace {

    bool hasNoBody(unsigned status)
    {
        return status == statusNoContent || status == statusNotModified;
    }

}

std::string pipeline_session::formatHeader(const exchange& answeredExchange, bool closes) const
{
    const auto& response = answeredExchange.response;
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + ' ';
    text += std::string(http::obsolete_reason(http::int_to_status(response.status))) + "\r\n";
    for (const auto& field : response.fields) {
        if (!isHopByHop(field.name)) {
            text += field.name + ": " + field.value + "\r\n";
        }
    }
    if (!hasNoBody(response.status)) {
        text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    }
    if (closes) {
        text += "Connection: close\r\n";
    }
    text += "\r\n";
    return text;
}

void pipeline_session::appendAnswer(const exchange& answeredExchange, bool closes)
{
    const auto& response = answeredExchange.response;
    m_outgoingBytes += formatHeader(answeredExchange, closes);
    if (hasNoBody(response.status) || answeredExchange.isHeadRequest) {
        return;
    }
    if (response.body.size() <= maxCopiedBytes) {
        m_outgoingBytes += response.body.text();
    } else {
        m_outgoingBody = response.body;
    }
}

// Returns whether answers were sent, in the order of their requests, without waiting.
bool pipeline_session::sendAnswers()
{
    if (m_writing || m_closed) {
        return false;
    }
    while (!m_exchanges.empty() && m_exchanges.front()->answered && m_outgoingBytes.size() < maxBatchBytes && m_outgoingBody.empty()) {
        auto next = m_exchanges.front();
        m_exchanges.pop_front();
        bool closes = next->closes || (m_server->closingAfterAnswers && m_exchanges.empty());
        m_closing = m_closing || closes;
        appendAnswer(*next, closes);
    }
    if (m_outgoingBytes.empty()) {
        return false;
    }
    m_writing = true;
    m_writeStarted = std::chrono::steady_clock::now();
    if (m_exchanges.empty()) {
        enter(stage::Answering);
    }
    const std::array<asio::const_buffer, 2> bytes { asio::buffer(m_outgoingBytes), asio::buffer(m_outgoingBody.text()) };
    bool completed = m_stream.send(bytes, [self = shared_from_this()](const error_code& error, std::size_t) {
        self->written(error);
        self->advance();
    });
    if (completed) {
        written({});
    } else {
        // Copies, which the client may leave unread for long. The body has its own room.
        m_outgoingRoom = byte_reservation(m_server->hooks.budget, byte_place::Caller);
        m_outgoingRoom.complete(m_outgoingBytes.size());
    }
    return completed;
}

void pipeline_session::written(const error_code& error)
{
    m_writing = false;
    m_outgoingBytes = {};
    m_outgoingRoom = {};
    m_outgoingBody.clear();
    if (m_closed) {
        return;
    }
    if (error) {
        clientGone(connection_loss_cause::WriteFailed);
        return;
    }
    if (m_closing && m_exchanges.empty()) {
        closeGracefully();
        return;
    }
    enterNextStage();
}

void pipeline_session::enterNextStage()
{
    if (!m_exchanges.empty()) {
        enter(stage::Answering);
    } else if (!m_parser) {
        enter(stage::Idle);
    } else {
        enter(m_parser->is_header_done() ? stage::Body : stage::Header);
    }
}

// Shuts down the sending side first, and discards what the client still sends. Closing the socket while it
// has unread bytes would reset the connection, and the client could lose the last answer.
void pipeline_session::closeGracefully()
{
    error_code ignored;
    m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    enter(stage::Lingering);
    discardReceived();
    // A read in progress holds the buffer of a request that was given up; the next one gets a small buffer.
    if (m_reading) {
        m_stream.socket().cancel(ignored);
    }
}

void pipeline_session::clientGone(connection_loss_cause cause)
{
    reportLoss(cause);
    close();
    auto exchanges = std::exchange(m_exchanges, {});
    for (const auto& pending : exchanges) {
        if (!pending->answered) {
            pending->clientGone();
        }
    }
}

void pipeline_session::reportLoss(connection_loss_cause cause)
{
    auto isUnanswered = [](const std::shared_ptr<exchange>& pending) { return !pending->answered; };
    auto unanswered = static_cast<std::size_t>(std::count_if(m_exchanges.begin(), m_exchanges.end(), isUnanswered));
    if (unanswered == 0) {
        return;
    }
    m_server->counts.abandonedRequests += unanswered;
    if (m_server->hooks.connectionLost) {
        m_server->hooks.connectionLost({ cause, unanswered, m_stream.received().size() });
    }
}

bool pipeline_session::isIdle() const
{
    return m_stage == stage::Idle && m_exchanges.empty() && !m_writing;
}

std::size_t pipeline_session::inProgress() const
{
    bool isReceiving = m_stage == stage::Header || m_stage == stage::Body;
    // The connections that are idle after the stop have been kept open for a request.
    bool isKept = isIdle() && m_server->isStopped;
    return m_exchanges.size() + (m_writing ? 1 : 0) + (isReceiving || isKept ? 1 : 0);
}

void pipeline_session::closeIfIdle(time_point now)
{
    error_code error;
    if (isIdle() && !m_firstRequest.isAwaited(now) && m_stream.socket().available(error) == 0) {
        close();
    }
}

void pipeline_session::abandon()
{
    reportLoss(connection_loss_cause::NodeEnded);
    close();
}

// The caller keeps the session alive: the server gives it up.
void pipeline_session::close()
{
    m_closed = true;
    m_room = {};
    error_code ignored;
    m_stream.socket().close(ignored);
    m_server->sessions.erase(shared_from_this());
}

}
