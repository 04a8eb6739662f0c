#include "backend/instance_client.h"

#include "http/connection_pool.h"
#include "http/message_parser.h"
#include "http/pooled_connection.h"

#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include <charconv>
#include <optional>

namespace vanillashunt {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

    constexpr std::chrono::milliseconds connectTimeout { 1000 };

    // A server's idle timeout where it names none: shorter than any that is usual.
    constexpr std::chrono::milliseconds defaultIdleTimeout { 4000 };
    // Before the server's own time-out, so that no request meets a closing connection.
    constexpr std::chrono::milliseconds idleMargin { 1000 };

    // Answers of other requests that are passed over on one connection.
    constexpr int mostForeignAnswers = 2;
    constexpr std::uint32_t maxHeaderBytes = 64 * 1024;
    constexpr unsigned firstFinalStatus = 200;

    class instance_connection;

    // Room for a request line and the usual fields.
    constexpr std::size_t usualHeaderBytes = 768;

    // Closed by the server within this time after an answer, a connection is hardly ever:
    // only one that was idle for longer is looked at before it takes a request.
    constexpr std::chrono::milliseconds surelyOpen { 20 };

    std::string requestText(const http_request& request)
    {
        std::string text;
        text.reserve(usualHeaderBytes + request.body.size());
        text.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
        for (const auto& field : request.fields) {
            text.append(field.name).append(": ").append(field.value).append("\r\n");
        }
        bool bodyExpected = request.method != "GET" && request.method != "HEAD";
        if (bodyExpected || !request.body.empty()) {
            text.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
        }
        text.append("\r\n").append(request.body);
        return text;
    }

    // How long the server keeps the connection, by its Keep-Alive field: "timeout=5, max=100".
    std::chrono::milliseconds keptFor(const std::string& keepAlive)
    {
        constexpr const char* name = "timeout=";
        auto place = keepAlive.find(name);
        if (place == std::string::npos) {
            return defaultIdleTimeout;
        }
        int seconds = 0;
        auto begin = keepAlive.data() + place + std::char_traits<char>::length(name);
        std::from_chars(begin, keepAlive.data() + keepAlive.size(), seconds);
        return std::chrono::seconds(seconds) - idleMargin;
    }

}

struct instance_client::state : std::enable_shared_from_this<instance_client::state> {
    state(asio::io_context& ioContext, instance_client_settings clientSettings)
        : context(ioContext)
        , settings(std::move(clientSettings))
    {
    }

    asio::io_context& context;
    instance_client_settings settings;
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

        // Whether an idle connection may take a request: nothing came on it, not even its
        // end, that waits to be told.
        bool isClean(time_point now)
        {
            if (now - m_connection.idleSince() < surelyOpen) {
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
            m_isHead = request.method == "HEAD";
            m_outgoing = requestText(request);
            m_written = false;
            m_sent = false;
            m_foreign = 0;
            beginAnswer();
            m_connection.use();
            if (m_connection.isOpen()) {
                write();
                return;
            }
            connect();
        }

        void becomeIdle() { m_connection.becomeIdle(std::chrono::steady_clock::now(), m_keptFor); }

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
                // It reads while it writes: the server may answer before it has the whole body.
                self->read();
                self->write();
            });
        }

        void write()
        {
            m_sent = true;
            bool atOnce = m_connection.stream().send(asio::buffer(m_outgoing), [self = shared_from_this()](const error_code& error, std::size_t count) {
                self->written(!error);
                // Nothing has left if even the first byte was refused.
                self->m_sent = self->m_sent && !(error && count == 0);
                if (error && error != asio::error::broken_pipe && error != asio::error::connection_reset) {
                    self->fail(error.message());
                }
            });
            if (atOnce) {
                written(true);
            }
        }

        // An idle connection keeps nothing of what it has sent.
        void written(bool whole)
        {
            m_written = whole;
            m_outgoing = {};
        }

        void beginAnswer()
        {
            m_parser.emplace();
            m_parser->header_limit(maxHeaderBytes);
            if (auto client = m_client.lock()) {
                m_parser->body_limit(client->settings.maxBodyBytes);
            }
            m_parser->skip(m_isHead);
        }

        void idleConnectionEnded()
        {
            if (auto client = m_client.lock()) {
                client->counts.extraBytes += m_connection.stream().received().size();
                client->pool.dropIdle(shared_from_this());
            }
        }

        // An answer without a length is whole when the server has ended the connection; one
        // that was reset is not.
        void connectionEnded(const error_code& error)
        {
            error_code refused;
            if (error == asio::error::eof && m_parser->got_some()) {
                m_parser->put_eof(refused);
            }
            if (error == asio::error::eof && !refused && m_parser->is_done()) {
                answerRead();
                return;
            }
            fail(error.message());
        }

        void bytesReceived()
        {
            auto& received = m_connection.stream().received();
            while (received.size() > 0 && !m_connection.isClosed() && !m_connection.isIdle()) {
                error_code error;
                received.consume(m_parser->put(received.data(), error));
                if (error == http::error::need_more) {
                    return;
                }
                if (error) {
                    fail(error.message());
                    return;
                }
                if (!m_parser->is_done()) {
                    continue;
                }
                answerRead();
            }
        }

        void answerRead()
        {
            auto client = m_client.lock();
            if (!client) {
                close();
                return;
            }
            if (m_parser->status < firstFinalStatus) {
                beginAnswer();
                return;
            }
            bool mayGoOn = m_parser->keep_alive() && !m_parser->need_eof();
            auto response = takeResponse();
            if (!client->settings.isAnswerTo(response, m_requestId)) {
                ++client->counts.foreignAnswers;
                passOver(mayGoOn);
                return;
            }
            auto extraBytes = m_connection.stream().received().size();
            client->counts.extraBytes += extraBytes;
            bool reusable = mayGoOn && m_written && m_foreign == 0 && extraBytes == 0 && m_keptFor.count() > 0;
            end(std::move(response), reusable);
        }

        // An answer to an earlier request came late; the own one may follow it.
        void passOver(bool mayGoOn)
        {
            ++m_foreign;
            if (!mayGoOn || m_foreign > mostForeignAnswers) {
                fail("an answer of another request came");
                return;
            }
            beginAnswer();
        }

        http_response takeResponse()
        {
            m_keptFor = keptFor(m_parser->keepAlive);
            return { m_parser->status, std::move(m_parser->fields), std::move(m_parser->body) };
        }

        void fail(const std::string& message)
        {
            if (!m_connection.isClosed()) {
                end(instance_failure { m_sent, message }, false);
            }
        }

        void end(instance_result result, bool reusable)
        {
            if (auto client = m_client.lock()) {
                client->pool.end(shared_from_this(), std::move(result), reusable, client->settings.maxIdle);
            }
        }

        std::weak_ptr<instance_client::state> m_client;
        std::string m_requestId;
        std::string m_outgoing;
        std::optional<message_parser<false>> m_parser;
        std::chrono::milliseconds m_keptFor { defaultIdleTimeout };
        int m_foreign = 0;
        bool m_isHead = false;
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
    while (connection && !connection->isClean(now)) {
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
}

bool instance_client::hasOpenConnection() const
{
    return m_state->pool.anyOf([](const instance_connection& connection) { return connection.isEstablished(); });
}

void instance_client::probe(const std::string& address, std::function<void(bool answered)> handler)
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
