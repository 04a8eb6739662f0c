#include "caller/pipeline_session.h"

#include <algorithm>

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
    constexpr unsigned statusNoContent = 204;
    constexpr unsigned statusNotModified = 304;

    // Requests of one connection that are worked on at once; the others wait in the socket.
    constexpr std::size_t mostExchanges = 32;

    // What is read of requests that are not taken; more waits in the socket.
    constexpr std::size_t mostUntakenBytes = 65536;

    // How long a client may leave an answer unread, and its end of the connection open.
    constexpr std::chrono::milliseconds longestUnread { 10000 };
    constexpr std::chrono::milliseconds longestLeaving { 2000 };

    // Drops what the Connection field declares to be of this connection only; a Host it
    // cannot take away.
    void removeNamed(http_fields& fields, const std::string& connectionField)
    {
        for (const auto& token : http::token_list { connectionField }) {
            auto name = std::string(token);
            auto isNamed = [&name](const http_field& each) { return equalIgnoringCase(each.name, name) && !equalIgnoringCase(name, "Host"); };
            fields.erase(std::remove_if(fields.begin(), fields.end(), isNamed), fields.end());
        }
    }

}

class pipeline_session::exchange : public http_exchange {
public:
    exchange(const std::shared_ptr<pipeline_session>& session, bool keepAlive, bool isHead)
        : closes(!keepAlive)
        , withoutBody(isHead)
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
            session->flush();
        }
    }

    void setDisconnectHandler(std::function<void()> callback) override { m_whenGone = std::move(callback); }

    void clientGone()
    {
        answered = true;
        if (auto callback = std::exchange(m_whenGone, nullptr)) {
            callback();
        }
    }

    http_response response;
    bool answered = false;
    bool closes;
    bool withoutBody;

private:
    std::weak_ptr<pipeline_session> m_session;
    std::function<void()> m_whenGone;
};

pipeline_session::pipeline_session(tcp::socket socket, std::shared_ptr<pipeline_server::state> server)
    : m_stream(std::move(socket))
    , m_server(std::move(server))
{
    m_server->sessions.insert(this);
    ++m_server->counts.connections;
}

pipeline_session::~pipeline_session()
{
    m_server->sessions.erase(this);
}

void pipeline_session::start()
{
    enter(stage::Idle);
    read();
}

void pipeline_session::enter(stage next)
{
    m_stage = next;
    m_stageEntered = std::chrono::steady_clock::now();
}

std::chrono::milliseconds pipeline_session::longest(stage which) const
{
    auto limits = m_server->hooks.limits();
    switch (which) {
    case stage::Idle:
        return limits.idleTimeout;
    case stage::Header:
        return limits.headerTimeout;
    case stage::Body:
        return limits.idleTimeout;
    case stage::Answering:
        return std::chrono::milliseconds::max();
    case stage::Reading:
        return longestUnread;
    case stage::Leaving:
        break;
    }
    return longestLeaving;
}

void pipeline_session::enforceTimeouts(time_point now)
{
    auto bound = longest(m_stage);
    if (bound == std::chrono::milliseconds::max() || now - m_stageEntered < bound) {
        return;
    }
    if (m_stage == stage::Header || m_stage == stage::Body) {
        ++m_server->counts.tooSlow;
        refuse(statusRequestTimeout, "the request did not arrive in time");
        return;
    }
    clientGone();
}

void pipeline_session::read()
{
    bool full = m_exchanges.size() >= mostExchanges || (!mayTakeRequest() && m_stream.received().size() >= mostUntakenBytes);
    if (m_reading || m_closed || full) {
        return;
    }
    m_reading = true;
    m_stream.read([self = shared_from_this()](const error_code& error) {
        self->m_reading = false;
        self->bytesArrived(error);
    });
}

void pipeline_session::bytesArrived(const error_code& error)
{
    if (m_closed) {
        return;
    }
    if (error) {
        clientGone();
        return;
    }
    parse();
    read();
}

// While the server stops, nothing is taken behind an unanswered request: its answer could come
// only after that one's, which may be later than the end of the stop. The client sends it
// again elsewhere.
bool pipeline_session::mayTakeRequest() const
{
    if (m_closed || m_closing || m_exchanges.size() >= mostExchanges) {
        return false;
    }
    return !m_server->closingAfterAnswers || m_exchanges.empty();
}

void pipeline_session::parse()
{
    while (mayTakeRequest() && m_stream.received().size() > 0) {
        if (!parseOne()) {
            break;
        }
    }
    if (m_closing) {
        // What came behind the last request that is answered counts as not read.
        m_stream.received().consume(m_stream.received().size());
    }
}

// Returns whether a whole request was taken.
bool pipeline_session::parseOne()
{
    if (!m_parser) {
        beginParser();
    }
    while (m_stream.received().size() > 0 && !m_parser->is_done()) {
        error_code error;
        auto used = m_parser->put(m_stream.received().data(), error);
        m_stream.received().consume(used);
        if (error == http::error::need_more) {
            break;
        }
        if (error) {
            refuseUnreadable(error);
            return false;
        }
    }
    if (m_parser->is_done()) {
        requestArrived();
        return true;
    }
    if (m_parser->is_header_done()) {
        // The bound of a body is on the time in which nothing of it comes.
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
    m_parser->body_limit(limits.maxBodyBytes);
    enter(stage::Header);
}

void pipeline_session::requestArrived()
{
    bool readable = m_parser->hasSupportedFraming && m_parser->hosts == 1;
    if (!readable) {
        ++m_server->counts.malformed;
        refuse(statusBadRequest, "the request needs one Host and a body of known length or in chunks");
        return;
    }
    http_request request { std::move(m_parser->method), std::move(m_parser->target), std::move(m_parser->fields), std::move(m_parser->body) };
    if (!m_parser->connection.empty()) {
        removeNamed(request.fields, m_parser->connection);
    }
    auto next = std::make_shared<exchange>(shared_from_this(), m_parser->keep_alive(), request.method == "HEAD");
    m_parser.reset();
    m_closing = m_closing || next->closes;
    m_exchanges.push_back(next);
    enter(stage::Answering);
    m_server->hooks.request(std::move(request), next);
}

void pipeline_session::refuseUnreadable(const error_code& error)
{
    if (error == http::error::header_limit) {
        ++m_server->counts.tooLarge;
        refuse(statusHeaderTooLarge, "the header is over the bound of the configuration");
    } else if (error == http::error::body_limit) {
        ++m_server->counts.tooLarge;
        refuse(statusTooLarge, "the body is over the bound of the configuration");
    } else {
        ++m_server->counts.malformed;
        refuse(statusBadRequest, "the request cannot be read: " + error.message());
    }
}

// Answers, in its turn, a request that was not taken; nothing behind it is read.
void pipeline_session::refuse(unsigned status, const std::string& reason)
{
    m_parser.reset();
    m_closing = true;
    auto last = std::make_shared<exchange>(shared_from_this(), false, false);
    m_exchanges.push_back(last);
    last->respond({ status, { { "Content-Type", "text/plain" } }, reason + "\n" });
}

std::string pipeline_session::answerText(const exchange& each, bool closes) const
{
    const auto& response = each.response;
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + ' ';
    text += std::string(http::obsolete_reason(http::int_to_status(response.status))) + "\r\n";
    for (const auto& field : response.fields) {
        if (!isHopByHop(field.name)) {
            text += field.name + ": " + field.value + "\r\n";
        }
    }
    bool hasNoBody = response.status == statusNoContent || response.status == statusNotModified;
    if (!hasNoBody) {
        text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    }
    if (closes) {
        text += "Connection: close\r\n";
    }
    text += "\r\n";
    if (!hasNoBody && !each.withoutBody) {
        text += response.body;
    }
    return text;
}

void pipeline_session::flush()
{
    if (m_writing || m_closed) {
        return;
    }
    while (!m_exchanges.empty() && m_exchanges.front()->answered) {
        auto each = m_exchanges.front();
        m_exchanges.pop_front();
        bool closes = each->closes || (m_server->closingAfterAnswers && m_exchanges.empty());
        m_closing = m_closing || closes;
        m_outgoing += answerText(*each, closes);
    }
    if (m_outgoing.empty()) {
        return;
    }
    m_writing = true;
    if (m_exchanges.empty()) {
        enter(stage::Reading);
    }
    bool whole = m_stream.send(asio::buffer(m_outgoing), [self = shared_from_this()](const error_code& error, std::size_t) {
        self->m_writing = false;
        self->written(error);
    });
    if (whole) {
        m_writing = false;
        written({});
    }
}

void pipeline_session::written(const error_code& error)
{
    m_outgoing = {};
    if (m_closed) {
        return;
    }
    if (error) {
        clientGone();
        return;
    }
    flush();
    if (m_writing) {
        return;
    }
    if (m_closing && m_exchanges.empty()) {
        leave();
        return;
    }
    enterNextStage();
    parse();
    read();
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

// Ends the own side first: bytes that are still unread would reset the
// connection, and the last answer with it.
void pipeline_session::leave()
{
    error_code ignored;
    m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    enter(stage::Leaving);
    read();
}

void pipeline_session::clientGone()
{
    close();
    auto exchanges = std::exchange(m_exchanges, {});
    for (const auto& each : exchanges) {
        if (!each->answered) {
            each->clientGone();
        }
    }
}

void pipeline_session::closeIfIdle()
{
    error_code error;
    bool isIdle = m_stage == stage::Idle && m_exchanges.empty() && !m_writing;
    if (isIdle && m_stream.socket().available(error) == 0) {
        close();
    }
}

void pipeline_session::close()
{
    m_closed = true;
    error_code ignored;
    m_stream.socket().close(ignored);
}

}
