#include "http/http_server.h"

#include "budget/grant_handler.h"
#include "http/connection_acceptor.h"
#include "http/first_request.h"
#include "http/message_part.h"
#include "http/peer_close.h"

#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include <optional>
#include <unordered_set>

namespace vanillashunt {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

    constexpr unsigned statusBadRequest = 400;
    constexpr unsigned statusTooLarge = 413;
    constexpr unsigned statusUnavailable = 503;
    constexpr std::uint32_t maxHeaderBytes = 32 * 1024;
    // A longer header is read on only after it has been given room.
    constexpr std::size_t maxHeaderPartBytes = 4096;

    // Limits the bytes that are received and not parsed, such as those of a chunk header without end.
    constexpr std::size_t maxBufferedBytes = 4 * std::size_t(maxHeaderBytes);

    // How long a client may take to close its side of the connection.
    constexpr std::chrono::milliseconds lingerTimeout { 2000 };

    // How often a client that has sent its next request is checked for having left.
    constexpr std::chrono::milliseconds departureCheckPeriod { 250 };

    http_response badRequestResponse(const error_code& error)
    {
        bool tooLarge = error == http::error::body_limit || error == http::error::header_limit;
        http_response response;
        response.status = tooLarge ? statusTooLarge : statusBadRequest;
        response.fields = {
            { "Content-Type", "application/json" },
            { "Vanillashunt-Verdict", "not_run" },
            { "Vanillashunt-Reason", tooLarge ? "too_large" : "malformed" },
        };
        response.body = std::string(R"({"verdict":"not_run","reason":")") + (tooLarge ? "too_large" : "malformed")
            + R"(","message":")" + error.message() + "\"}";
        return response;
    }

    http_response noRoomResponse()
    {
        http_response response;
        response.status = statusUnavailable;
        response.fields = {
            { "Content-Type", "application/json" },
            { "Vanillashunt-Verdict", "not_run" },
            { "Vanillashunt-Reason", "no_memory" },
            { "Retry-After", "1" },
        };
        response.body = R"({"verdict":"not_run","reason":"no_memory","message":"the node has no memory for the request at present"})";
        return response;
    }

}

class http_session;

struct http_server::state {
    state(const http_server_limits& serverLimits, http_handler serverHandler)
        : limits(serverLimits)
        , handler(std::move(serverHandler))
    {
    }

    void closeIdle(std::chrono::steady_clock::time_point now);

    std::unique_ptr<connection_acceptor> acceptor;
    http_server_limits limits;
    http_handler handler;
    std::unordered_set<http_session*> sessions;
    bool closingAfterResponses = false;
    bool isStopped = false;
};

// One client connection: reads a request, passes it to the handler, sends the response,
// and reads the next request.
class http_session : public std::enable_shared_from_this<http_session> {
public:
    http_session(tcp::socket socket, std::shared_ptr<http_server::state>);
    ~http_session();

    void readRequest();
    void closeIfIdle(std::chrono::steady_clock::time_point now);
    bool inProgress() const;

private:
    class exchange;

    enum class stage {
        Idle, // Waits for the first byte of a request.
        InProgress, // Receives, handles or responds to a request.
        Lingering, // Waits for the client to close the connection after the last response.
    };

    void readRemainder();
    void partArrived(const error_code&);
    bool hasRoom();
    void roomDecided(byte_grant);
    void requestReceived(const error_code&);
    void watchForDisconnect();
    void clientSocketReadable(const error_code&, std::uint64_t exchangeNumber);
    void send(http_response, bool keepAlive);
    void closeGracefully();
    void discard();
    void close();

    beast::tcp_stream m_stream;
    reset_detector m_resets;
    asio::steady_timer m_departureTimer;
    std::shared_ptr<http_server::state> m_server;
    beast::flat_buffer m_buffer { maxBufferedBytes };
    std::optional<message_parser<true>> m_parser;
    // The room of the request that is being received.
    byte_reservation m_room;
    http::response<http::span_body<const char>> m_response;
    message_body m_responseBody;
    std::shared_ptr<exchange> m_exchange;
    // Keeps the session while it waits for room, when it has no operation outstanding.
    std::shared_ptr<http_session> m_waiting;
    std::uint64_t m_exchangeNumber = 0;
    first_request m_firstRequest;
    stage m_stage = stage::Idle;
};

class http_session::exchange : public http_exchange {
public:
    exchange(std::shared_ptr<http_session> session, bool keepAlive)
        : m_session(std::move(session))
        , m_keepAlive(keepAlive)
    {
    }

    void respond(http_response response) override
    {
        auto session = std::exchange(m_session, nullptr);
        m_disconnectHandler = nullptr;
        if (session) {
            session->send(std::move(response), m_keepAlive);
        }
    }

    void setDisconnectHandler(std::function<void()> callback) override
    {
        if (m_isClientGone) {
            callback();
            return;
        }
        m_disconnectHandler = std::move(callback);
    }

    void clientDisconnected()
    {
        m_session.reset();
        m_isClientGone = true;
        auto callback = std::exchange(m_disconnectHandler, nullptr);
        if (callback) {
            callback();
        }
    }

private:
    std::shared_ptr<http_session> m_session;
    std::function<void()> m_disconnectHandler;
    bool m_keepAlive;
    bool m_isClientGone = false;
};

http_session::http_session(tcp::socket socket, std::shared_ptr<http_server::state> server)
    : m_stream(std::move(socket))
    , m_departureTimer(m_stream.get_executor())
    , m_server(std::move(server))
    , m_firstRequest(std::chrono::steady_clock::now())
{
    m_server->sessions.insert(this);
}

http_session::~http_session()
{
    m_server->sessions.erase(this);
}

void http_session::readRequest()
{
    m_stage = stage::Idle;
    m_parser.emplace();
    m_parser->setMaxBodyBytes(m_server->limits.maxBodyBytes);
    m_parser->header_limit(maxHeaderBytes);
    m_room = byte_reservation(m_server->limits.budget, m_server->limits.place);
    m_stream.expires_after(m_server->limits.idleTimeout);
    auto self = shared_from_this();
    auto begin = [self] {
        self->m_stage = stage::InProgress;
        self->m_firstRequest.arrived();
        self->m_stream.expires_after(self->m_server->limits.requestTimeout);
        self->partArrived(parseReceived(self->m_buffer, *self->m_parser));
    };
    if (m_buffer.size() > 0) {
        begin();
        return;
    }
    // The idle timeout applies until the first byte; then the request timeout applies.
    m_stream.async_read_some(m_buffer.prepare(maxHeaderPartBytes), [self, begin](error_code error, std::size_t count) {
        if (error) {
            self->close();
            return;
        }
        // A request that has arrived is answered even while the server is stopping.
        self->m_buffer.commit(count);
        begin();
    });
}

void http_session::readRemainder()
{
    auto maxBytes = m_parser->is_header_done() ? std::size_t(maxHeaderBytes) : maxHeaderPartBytes;
    readPart(m_stream, m_buffer, maxBytes, *m_parser, m_resets, [self = shared_from_this()](const error_code& error) { self->partArrived(error); });
}

void http_session::partArrived(const error_code& error)
{
    if (error || m_parser->is_done()) {
        requestReceived(error);
    } else if (hasRoom()) {
        readRemainder();
    }
}

// Asks for room for the next part of a request.
bool http_session::hasRoom()
{
    auto grant = m_parser->reserveNextPart(m_room, m_buffer.size(), std::chrono::steady_clock::now(), grantHandler(weak_from_this(), &http_session::roomDecided));
    if (grant == byte_grant::Refused) {
        send(noRoomResponse(), false);
        return false;
    }
    m_waiting = grant == byte_grant::Waiting ? shared_from_this() : nullptr;
    return grant == byte_grant::Granted;
}

void http_session::roomDecided(byte_grant grant)
{
    m_waiting.reset();
    if (grant == byte_grant::Refused) {
        send(noRoomResponse(), false);
        return;
    }
    readRemainder();
}

void http_session::requestReceived(const error_code& error)
{
    if (error == http::error::end_of_stream || error == beast::error::timeout) {
        close();
        return;
    }
    if (error) {
        send(badRequestResponse(error), false);
        return;
    }
    m_stream.expires_never();
    http_request request;
    request.method = std::move(m_parser->method);
    request.target = std::move(m_parser->target);
    for (auto& field : m_parser->fields) {
        if (!isHopByHop(field.name)) {
            request.fields.push_back(std::move(field));
        }
    }
    if (!m_room.completeIfRoom(m_parser->heldBytes() + requestStateBytes)) {
        send(noRoomResponse(), false);
        return;
    }
    request.body = message_body(std::move(m_parser->body), std::move(m_room));
    m_exchange = std::make_shared<exchange>(shared_from_this(), m_parser->keep_alive());
    ++m_exchangeNumber;
    watchForDisconnect();
    m_server->handler(std::move(request), m_exchange);
}

// Waits for the socket to become readable while a request is being handled. The client
// has then either closed the connection or already sent its next request. That request stays in
// the socket; whether the client closes the connection behind it is checked periodically.
void http_session::watchForDisconnect()
{
    m_stream.socket().async_wait(tcp::socket::wait_read, [self = shared_from_this(), number = m_exchangeNumber](error_code error) {
        self->clientSocketReadable(error, number);
    });
}

void http_session::clientSocketReadable(const error_code& error, std::uint64_t exchangeNumber)
{
    if (error || exchangeNumber != m_exchangeNumber || !m_exchange) {
        return;
    }
    if (!isClosedByPeer(m_stream.socket())) {
        m_departureTimer.expires_after(departureCheckPeriod);
        m_departureTimer.async_wait([self = shared_from_this(), exchangeNumber](error_code timerError) {
            self->clientSocketReadable(timerError, exchangeNumber);
        });
        return;
    }
    auto abandonedExchange = std::exchange(m_exchange, nullptr);
    close();
    abandonedExchange->clientDisconnected();
}

void http_session::send(http_response response, bool keepAlive)
{
    m_exchange.reset();
    ++m_exchangeNumber;
    m_departureTimer.cancel();
    bool keepOpen = keepAlive && !m_server->closingAfterResponses;
    m_response = {};
    m_response.version(11);
    m_response.result(response.status);
    for (const auto& field : response.fields) {
        if (!isHopByHop(field.name)) {
            m_response.insert(field.name, field.value);
        }
    }
    m_room = {};
    m_responseBody = std::move(response.body);
    m_response.body() = { m_responseBody.text().data(), m_responseBody.size() };
    m_response.keep_alive(keepOpen);
    m_response.prepare_payload();
    m_stream.expires_after(m_server->limits.requestTimeout);
    http::async_write(m_stream, m_response, [self = shared_from_this(), keepOpen](error_code error, std::size_t) {
        self->m_resets.written(error);
        self->m_responseBody.clear();
        if (error) {
            self->close();
        } else if (keepOpen) {
            self->readRequest();
        } else {
            self->closeGracefully();
        }
    });
}

// Shuts down the sending side first, and discards what the client still sends. Closing the socket while it
// has unread bytes would reset the connection, and the client could lose the last answer.
void http_session::closeGracefully()
{
    m_stage = stage::Lingering;
    error_code ignored;
    m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    m_stream.expires_after(lingerTimeout);
    discard();
}

void http_session::discard()
{
    m_buffer.clear();
    m_stream.async_read_some(m_buffer.prepare(maxHeaderBytes), [self = shared_from_this()](error_code error, std::size_t) {
        if (error) {
            self->close();
            return;
        }
        self->discard();
    });
}

bool http_session::inProgress() const
{
    // The connections that are idle after the stop have been kept open for a request.
    return m_stage == stage::InProgress || (m_stage == stage::Idle && m_server->isStopped);
}

void http_session::closeIfIdle(std::chrono::steady_clock::time_point now)
{
    error_code error;
    if (m_stage == stage::Idle && !m_firstRequest.isAwaited(now) && m_stream.socket().available(error) == 0) {
        close();
    }
}

void http_session::close()
{
    m_stage = stage::Lingering;
    m_departureTimer.cancel();
    error_code ignored;
    m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    m_stream.close();
}

void http_server::state::closeIdle(std::chrono::steady_clock::time_point now)
{
    // A session that is closed leaves the set.
    auto present = sessions;
    for (auto* session : present) {
        session->closeIfIdle(now);
    }
}

http_server::http_server(asio::io_context& context, const std::string& listenAddress, const http_server_limits& limits, http_handler handler)
    : m_state(std::make_shared<state>(limits, std::move(handler)))
{
    std::weak_ptr<state> server = m_state;
    m_state->acceptor = std::make_unique<connection_acceptor>(context, listenAddress, [server](tcp::socket socket) {
        if (auto serverState = server.lock()) {
            std::make_shared<http_session>(std::move(socket), serverState)->readRequest();
        }
    });
}

http_server::~http_server()
{
    m_state->acceptor.reset();
    m_state->closeIdle(std::chrono::steady_clock::time_point::max());
}

std::string http_server::address() const
{
    return m_state->acceptor->address();
}

void http_server::closeAfterResponses()
{
    m_state->closingAfterResponses = true;
}

std::size_t http_server::inProgress() const
{
    std::size_t count = 0;
    for (const auto* session : m_state->sessions) {
        count += session->inProgress() ? 1 : 0;
    }
    return count;
}

void http_server::stopAccepting(std::chrono::steady_clock::time_point now)
{
    m_state->closingAfterResponses = true;
    m_state->isStopped = true;
    m_state->acceptor->stop();
    m_state->closeIdle(now);
}

}
