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
    constexpr std::size_t readBytes = 16384;

    // How long a client may leave an answer unread, and its end of the connection open.
    constexpr std::chrono::milliseconds longestUnread { 10000 };
    constexpr std::chrono::milliseconds longestLeaving { 2000 };

    // Names that the Connection field declares to be of this connection only.
    bool isNamedBy(const std::string& connectionField, const std::string& name)
    {
        for (const auto& token : http::token_list { connectionField }) {
            if (equalIgnoringCase(std::string(token), name)) {
                return true;
            }
        }
        return false;
    }

    // Anything but plain chunks would leave the end of the body to be guessed.
    bool isFramedPlainly(const http::fields& message)
    {
        auto encodings = message.equal_range(http::field::transfer_encoding);
        for (auto each = encodings.first; each != encodings.second; ++each) {
            if (!beast::iequals(each->value(), "chunked")) {
                return false;
            }
        }
        return message.count(http::field::transfer_encoding) <= 1;
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

    void whenClientGone(std::function<void()> callback) override { m_whenGone = std::move(callback); }

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
    : m_socket(std::move(socket))
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

void pipeline_session::endLate(time_point now)
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
    bool full = m_exchanges.size() >= mostExchanges;
    if (m_reading || m_closed || full) {
        return;
    }
    m_reading = true;
    m_socket.async_read_some(m_buffer.prepare(readBytes), [self = shared_from_this()](error_code error, std::size_t count) {
        self->m_reading = false;
        self->bytesArrived(error, count);
    });
}

void pipeline_session::bytesArrived(const error_code& error, std::size_t count)
{
    if (m_closed) {
        return;
    }
    if (error) {
        clientGone();
        return;
    }
    m_buffer.commit(count);
    parse();
    read();
}

void pipeline_session::parse()
{
    while (!m_closed && !m_closing && m_exchanges.size() < mostExchanges && m_buffer.size() > 0) {
        if (!parseOne()) {
            break;
        }
    }
    if (m_closing) {
        // What came behind the last request that is answered counts as not read.
        m_buffer.consume(m_buffer.size());
    }
}

// Returns whether a whole request was taken.
bool pipeline_session::parseOne()
{
    if (!m_parser) {
        beginParser();
    }
    while (m_buffer.size() > 0 && !m_parser->is_done()) {
        error_code error;
        auto used = m_parser->put(m_buffer.data(), error);
        m_buffer.consume(used);
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
    auto message = m_parser->release();
    m_parser.reset();
    if (!isFramedPlainly(message) || message.count(http::field::host) != 1) {
        ++m_server->counts.malformed;
        refuse(statusBadRequest, "the request needs one Host and a body of known length or in chunks");
        return;
    }
    auto connectionField = std::string(message[http::field::connection]);
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& field : message) {
        auto name = std::string(field.name_string());
        bool isHost = field.name() == http::field::host;
        if (isHost || !(isHopByHop(name) || isNamedBy(connectionField, name))) {
            request.fields.push_back({ name, std::string(field.value()) });
        }
    }
    request.body = std::move(message.body());
    auto next = std::make_shared<exchange>(shared_from_this(), message.keep_alive(), request.method == "HEAD");
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
    m_outgoing.clear();
    while (!m_exchanges.empty() && m_exchanges.front()->answered) {
        auto each = m_exchanges.front();
        m_exchanges.pop_front();
        // A connection is closed early only where nothing that was read goes unanswered.
        bool last = m_exchanges.empty() && m_buffer.size() == 0 && !m_parser;
        bool closes = each->closes || (m_server->closingAfterAnswers && last);
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
    asio::async_write(m_socket, asio::buffer(m_outgoing), [self = shared_from_this()](error_code error, std::size_t) {
        self->m_writing = false;
        self->written(error);
    });
}

void pipeline_session::written(const error_code& error)
{
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
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
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
    if (isIdle && m_socket.available(error) == 0) {
        close();
    }
}

void pipeline_session::close()
{
    m_closed = true;
    error_code ignored;
    m_socket.close(ignored);
}

}
