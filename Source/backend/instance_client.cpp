#include "backend/instance_client.h"

#include "backend/answer_bounds.h"
#include "budget/grant_handler.h"
#include "call/http_status.h"
#include "http/connection_pool.h"
#include "http/message_part.h"
#include "http/pooled_connection.h"

#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include <array>
#include <charconv>
#include <optional>

namespace vanillashunt {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

    constexpr std::chrono::milliseconds connectTimeout { 1000 };

    // Assumed idle timeout of a server that specifies none: shorter than common server defaults.
    constexpr std::chrono::milliseconds defaultIdleTimeout { 4000 };
    // An idle connection is closed this long before the server's timeout, so that no request is sent on
    // a connection that the server is closing.
    constexpr std::chrono::milliseconds idleMargin { 1000 };

    // Maximum number of answers to other requests that are skipped on one connection.
    constexpr int maxForeignAnswers = 2;
    // Of a response that cannot be passed on, no more than this is received.
    constexpr std::uint64_t maxUnusableBytes = 65536;
    constexpr std::uint32_t maxHeaderBytes = 64 * 1024;

    class instance_connection;

    // Capacity reserved for a request line and the usual fields.
    constexpr std::size_t reservedHeaderBytes = 768;

    // A server rarely closes a connection within this time after an answer. Only a connection that was
    // idle for longer is checked before it is reused.
    constexpr std::chrono::milliseconds uncheckedIdleTime { 20 };

    // A body up to this size is copied behind the header, to be sent as one buffer.
    constexpr std::size_t maxCopiedBytes = 16384;

    std::string formatHeader(const http_request& request)
    {
        std::string text;
        text.reserve(reservedHeaderBytes);
        text.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
        for (const auto& field : request.fields) {
            text.append(field.name).append(": ").append(field.value).append("\r\n");
        }
        bool bodyExpected = request.method != "GET" && request.method != "HEAD";
        if (bodyExpected || !request.body.empty()) {
            text.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
        }
        text.append("\r\n");
        return text;
    }

    // How long an idle connection may be kept, by the server's Keep-Alive field: "timeout=5, max=100".
    std::chrono::milliseconds idleTimeoutFrom(const std::string& keepAlive)
    {
        constexpr const char* name = "timeout=";
        auto position = keepAlive.find(name);
        if (position == std::string::npos) {
            return defaultIdleTimeout;
        }
        int seconds = 0;
        auto begin = keepAlive.data() + position + std::char_traits<char>::length(name);
        std::from_chars(begin, keepAlive.data() + keepAlive.size(), seconds);
        return std::chrono::seconds(seconds) - idleMargin;
    }

}

struct instance_client::state : std::enable_shared_from_this<instance_client::state> {
    state(asio::io_context& ioContext, instance_client_settings clientSettings)
        : context(ioContext)
        , settings(std::move(clientSettings))
        , bounds(settings.maxBodyBytes)
    {
    }

    asio::io_context& context;
    instance_client_settings settings;
    answer_bounds bounds;
    instance_client_counts counts;
    connection_pool<instance_connection, instance_result> pool;
};

namespace {

    using time_point = std::chrono::steady_clock::time_point;

    // One connection to the server, with at most one request in progress.
    class instance_connection : public pooled_connection<instance_connection> {
    public:
        instance_connection(const std::shared_ptr<instance_client::state>& client, const std::string& address)
            : pooled_connection(client->context, address)
            , m_client(client)
        {
        }

        // Whether an idle connection can be reused: its socket has neither received bytes nor the end of
        // the connection that are not processed yet.
        bool isReusable(time_point now)
        {
            if (now - m_connection.idleSince() < uncheckedIdleTime) {
                return true;
            }
            char byte = 0;
            error_code error;
            m_connection.stream().socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
            return error == asio::error::would_block;
        }

        void start(const std::string& requestId, const http_request& request)
        {
            m_requestId = requestId;
            m_isHeadRequest = request.method == "HEAD";
            m_requestHeader = formatHeader(request);
            m_requestBody = request.body;
            if (m_requestBody.size() <= maxCopiedBytes) {
                m_requestHeader.append(m_requestBody.text());
                m_requestBody.clear();
            }
            m_written = false;
            m_sent = false;
            m_foreignAnswers = 0;
            beginAnswer();
            m_connection.use();
            if (m_connection.isOpen()) {
                write();
                return;
            }
            connect();
        }

        void close()
        {
            auto client = m_client.lock();
            if (client && isUndeclaredAnswerArriving()) {
                client->bounds.givenUp(m_parser->heldBytes(), std::chrono::steady_clock::now());
            }
            pooled_connection::close();
        }

        void becomeIdle() { m_connection.becomeIdle(std::chrono::steady_clock::now(), m_idleTimeout); }

    private:
        friend class pooled_connection<instance_connection>;

        void connect()
        {
            auto client = m_client.lock();
            if (!client) {
                return;
            }
            ++client->counts.connectionsOpened;
            m_connection.connect(client->settings.outgoingAddress, connectTimeout, [self = shared_from_this()](const error_code& error) {
                if (error) {
                    self->fail(error.message());
                    return;
                }
                // Reading starts before writing ends: the server may answer before it has received the body.
                self->read();
                self->write();
            });
        }

        void write()
        {
            m_sent = true;
            const std::array<asio::const_buffer, 2> bytes { asio::buffer(m_requestHeader), asio::buffer(m_requestBody.text()) };
            bool completed = m_connection.stream().send(bytes, [self = shared_from_this()](const error_code& error, std::size_t count) {
                self->written(!error);
                // If the write fails at the first byte, nothing was sent.
                self->m_sent = self->m_sent && !(error && count == 0);
                if (error && error != asio::error::broken_pipe && error != asio::error::connection_reset) {
                    self->fail(error.message());
                }
            });
            if (completed) {
                written(true);
            }
        }

        // Releases the request, so that idle connections hold no memory for it.
        void written(bool completed)
        {
            m_written = completed;
            m_requestHeader = {};
            m_requestBody.clear();
        }

        void beginAnswer()
        {
            m_parser.emplace();
            m_headerReceived = {};
            m_parser->header_limit(maxHeaderBytes);
            m_parser->skip(m_isHeadRequest);
            m_room = {};
            if (auto client = m_client.lock()) {
                m_parser->setMaxBodyBytes(client->settings.maxBodyBytes);
                m_room = byte_reservation(client->settings.budget, byte_place::Server);
            }
        }

        bool isUndeclaredAnswerArriving() const
        {
            return !m_connection.isIdle() && m_parser && m_parser->is_header_done() && !m_parser->is_done() && !m_parser->hasLength();
        }

        // Asks for room for the next part of an answer.
        bool canRead()
        {
            if (m_connection.isIdle()) {
                return true;
            }
            auto now = std::chrono::steady_clock::now();
            auto client = m_client.lock();
            if (client && isUndeclaredAnswerArriving() && m_parser->heldBytes() > client->bounds.maxUndeclaredBytes(now)) {
                fail("the answer seems to have no end", instance_failure_cause::AnswerTooLarge);
                return false;
            }
            auto grant = m_parser->reserveNextPart(m_room, m_connection.stream().received().size(), now, grantHandler(weak_from_this(), &instance_connection::roomDecided));
            if (grant == byte_grant::Refused) {
                fail("the answer exceeds the memory of the node", instance_failure_cause::AnswerTooLarge);
            }
            return grant == byte_grant::Granted;
        }

        void roomDecided(byte_grant grant)
        {
            if (m_connection.isClosed()) {
                return;
            }
            if (grant == byte_grant::Refused) {
                fail("no room for the answer", instance_failure_cause::NoMemory);
                return;
            }
            read();
        }

        // Whether the rest of the answer has to be received.
        bool isUsable(const instance_client_settings& settings) const
        {
            bool isLong = m_parser->heldBytes() > maxUnusableBytes;
            return !isLong || !settings.isUsable || isInformationalStatus(m_parser->status) || settings.isUsable(m_parser->status, m_parser->fields, m_requestId);
        }

        void idleConnectionEnded()
        {
            if (auto client = m_client.lock()) {
                client->counts.extraBytes += m_connection.stream().received().size();
                client->pool.dropIdle(shared_from_this());
            }
        }

        // An answer without a length is complete when the server closes the connection, but not when the
        // connection is reset.
        void connectionEnded(const error_code& error)
        {
            auto result = error == asio::error::eof ? parseEnd(*m_parser) : error;
            if (result) {
                fail(result.message());
                return;
            }
            answerComplete();
        }

        void bytesReceived()
        {
            auto& received = m_connection.stream().received();
            while (received.size() > 0 && !m_connection.isClosed() && !m_connection.isIdle()) {
                error_code error;
                received.consume(m_parser->put(received.data(), error));
                if (m_parser->is_header_done() && m_headerReceived == time_point {}) {
                    m_headerReceived = std::chrono::steady_clock::now();
                }
                if (error == http::error::need_more && received.size() < maxHeaderBytes) {
                    return;
                }
                if (error == http::error::body_limit) {
                    fail(error.message(), instance_failure_cause::AnswerTooLarge);
                    return;
                }
                if (error) {
                    fail(error.message());
                    return;
                }
                if (!m_parser->is_done()) {
                    endIfUnusable();
                    continue;
                }
                answerComplete();
            }
        }

        void endIfUnusable()
        {
            auto client = m_client.lock();
            if (client && m_parser->is_header_done() && !isUsable(client->settings)) {
                fail("the answer is long and cannot be passed on");
            }
        }

        void answerComplete()
        {
            auto client = m_client.lock();
            if (!client) {
                close();
                return;
            }
            if (isInformationalStatus(m_parser->status)) {
                beginAnswer();
                return;
            }
            bool keepsOpen = m_parser->keep_alive() && !m_parser->need_eof();
            auto response = takeResponse();
            if (!client->settings.isAnswerTo(response, m_requestId)) {
                ++client->counts.foreignAnswers;
                skipForeignAnswer(keepsOpen);
                return;
            }
            auto extraBytes = m_connection.stream().received().size();
            client->counts.extraBytes += extraBytes;
            bool reusable = keepsOpen && m_written && m_foreignAnswers == 0 && extraBytes == 0 && m_idleTimeout.count() > 0;
            end(std::move(response), reusable);
        }

        // A delayed answer to an earlier request may be followed by the answer to this one.
        void skipForeignAnswer(bool keepsOpen)
        {
            ++m_foreignAnswers;
            if (!keepsOpen || m_foreignAnswers > maxForeignAnswers) {
                fail("received an answer to another request");
                return;
            }
            beginAnswer();
        }

        http_response takeResponse()
        {
            if (auto client = m_client.lock()) {
                client->bounds.completed(m_parser->heldBytes());
            }
            m_idleTimeout = idleTimeoutFrom(m_parser->keepAlive);
            m_room.complete(m_parser->heldBytes());
            return { m_parser->status, std::move(m_parser->fields), message_body(std::move(m_parser->body), std::move(m_room)), m_headerReceived };
        }

        void fail(const std::string& message, instance_failure_cause cause = instance_failure_cause::Lost)
        {
            if (m_connection.isClosed()) {
                return;
            }
            auto client = m_client.lock();
            if (client && cause == instance_failure_cause::AnswerTooLarge) {
                ++client->counts.oversizedAnswers;
            }
            m_room = {};
            end(instance_failure { m_sent, message, cause }, false);
        }

        void end(instance_result result, bool reusable)
        {
            if (auto client = m_client.lock()) {
                client->pool.end(shared_from_this(), std::move(result), reusable, client->settings.maxIdle);
            }
        }

        std::weak_ptr<instance_client::state> m_client;
        std::string m_requestId;
        std::string m_requestHeader;
        message_body m_requestBody;
        byte_reservation m_room;
        std::optional<message_parser<false>> m_parser;
        std::chrono::milliseconds m_idleTimeout { defaultIdleTimeout };
        time_point m_headerReceived;
        int m_foreignAnswers = 0;
        bool m_isHeadRequest = false;
        bool m_written = false;
        bool m_sent = false;
    };

}

instance_client::instance_client(asio::io_context& context, instance_client_settings settings)
    : m_state(std::make_shared<state>(context, std::move(settings)))
{
}

instance_client::~instance_client() = default;

std::uint64_t instance_client::send(const std::string& address, const std::string& requestId, const http_request& request, instance_result_handler handler)
{
    auto now = std::chrono::steady_clock::now();
    auto connection = m_state->pool.takeIdle(address, now);
    while (connection && !connection->isReusable(now)) {
        connection->close();
        connection = m_state->pool.takeIdle(address, now);
    }
    if (!connection) {
        connection = std::make_shared<instance_connection>(m_state, address);
    }
    auto id = m_state->pool.begin(connection, std::move(handler));
    connection->start(requestId, request);
    return id;
}

void instance_client::cancel(std::uint64_t id)
{
    m_state->pool.cancel(id);
}

void instance_client::closeIdle()
{
    m_state->pool.closeIdle();
    m_state->bounds.reset();
}

bool instance_client::hasOpenConnection() const
{
    return m_state->pool.anyOf([](const instance_connection& connection) { return connection.isEstablished(); });
}

void instance_client::probe(const std::string& address, std::function<void(bool connected)> handler)
{
    ++m_state->counts.connectionsOpened;
    auto connection = std::make_shared<pooled_socket>(m_state->context, address);
    connection->connect(m_state->settings.outgoingAddress, connectTimeout, [connection, handler = std::move(handler)](const error_code& error) {
        connection->close();
        handler(!error);
    });
}

const instance_client_counts& instance_client::counts() const
{
    return m_state->counts;
}

std::size_t instance_client::inProgress() const
{
    return m_state->pool.inProgress();
}

}
