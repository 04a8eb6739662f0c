#include "backend/instance_client.h"

#include "http/connection_pool.h"
#include "http/pooled_socket.h"

#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include <charconv>
#include <optional>

namespace vanillashunt {

namespace asio = boost::asio;
namespace beast = boost::beast;
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

    std::string requestText(const http_request& request)
    {
        std::string text = request.method + ' ' + request.target + " HTTP/1.1\r\n";
        for (const auto& field : request.fields) {
            text += field.name + ": " + field.value + "\r\n";
        }
        bool bodyExpected = request.method != "GET" && request.method != "HEAD";
        if (bodyExpected || !request.body.empty()) {
            text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
        }
        text += "\r\n";
        text += request.body;
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

    // One connection to the server, with at most one request in progress.
    class instance_connection : public std::enable_shared_from_this<instance_connection> {
    public:
        instance_connection(const std::shared_ptr<instance_client::state>& client, const std::string& address)
            : m_client(client)
            , m_connection(client->context, address)
        {
        }

        const std::string& address() const { return m_connection.address(); }

        std::uint64_t startedId = 0;

        // Whether an idle connection may take a request: nothing came on it, not even its end.
        bool isClean()
        {
            char byte = 0;
            error_code error;
            m_connection.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
            return error == asio::error::would_block && m_buffer.size() == 0;
        }

        void start(const std::string& requestId, const http_request& request)
        {
            m_requestId = requestId;
            m_isHead = request.method == "HEAD";
            m_outgoing = requestText(request);
            m_written = false;
            m_sent = false;
            m_foreign = 0;
            m_connection.use();
            if (m_connection.socket().is_open()) {
                exchange();
                return;
            }
            connect();
        }

        void becomeIdle()
        {
            m_connection.becomeIdle(m_keptFor, [self = shared_from_this()] {
                if (auto client = self->m_client.lock()) {
                    client->pool.dropIdle(self);
                }
            });
        }

        void close() { m_connection.close(); }

    private:
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
                error_code ignored;
                self->m_connection.socket().non_blocking(true, ignored);
                self->exchange();
            });
        }

        // Reads while it writes: the server may answer before it has the whole body.
        void exchange()
        {
            m_sent = true;
            auto self = shared_from_this();
            asio::async_write(m_connection.socket(), asio::buffer(m_outgoing), [self](error_code error, std::size_t count) {
                self->m_written = !error;
                // Nothing has left if even the first byte was refused.
                self->m_sent = self->m_sent && !(error && count == 0);
                if (error && error != asio::error::broken_pipe && error != asio::error::connection_reset) {
                    self->fail(error.message());
                }
            });
            readAnswer();
        }

        void readAnswer()
        {
            m_parser.emplace();
            m_parser->header_limit(maxHeaderBytes);
            if (auto client = m_client.lock()) {
                m_parser->body_limit(client->settings.maxBodyBytes);
            }
            m_parser->skip(m_isHead);
            http::async_read(m_connection.socket(), m_buffer, *m_parser, [self = shared_from_this()](error_code error, std::size_t) {
                self->answerRead(error);
            });
        }

        void answerRead(const error_code& error)
        {
            auto client = m_client.lock();
            if (m_connection.isClosed() || !client) {
                return;
            }
            if (error) {
                fail(error.message());
                return;
            }
            if (m_parser->get().result_int() < firstFinalStatus) {
                readAnswer();
                return;
            }
            bool mayGoOn = m_parser->get().keep_alive() && !m_parser->get().need_eof();
            auto response = takeResponse();
            if (!client->settings.belongs(response, m_requestId)) {
                ++client->counts.foreignAnswers;
                passOver(mayGoOn);
                return;
            }
            client->counts.extraBytes += m_buffer.size();
            bool reusable = mayGoOn && m_written && m_foreign == 0 && m_buffer.size() == 0 && m_keptFor.count() > 0;
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
            readAnswer();
        }

        http_response takeResponse()
        {
            auto message = m_parser->release();
            http_response response;
            response.status = message.result_int();
            m_keptFor = keptFor(std::string(message[http::field::keep_alive]));
            for (const auto& field : message) {
                auto name = std::string(field.name_string());
                if (!isHopByHop(name)) {
                    response.fields.push_back({ name, std::string(field.value()) });
                }
            }
            response.body = std::move(message.body());
            return response;
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
        pooled_socket m_connection;
        std::string m_requestId;
        std::string m_outgoing;
        beast::flat_buffer m_buffer;
        std::optional<http::response_parser<http::string_body>> m_parser;
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
    auto connection = m_state->pool.takeIdle(address);
    while (connection && !connection->isClean()) {
        connection->close();
        connection = m_state->pool.takeIdle(address);
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

const instance_client_counts& instance_client::counts() const
{
    return m_state->counts;
}

std::size_t instance_client::inProgress() const
{
    return m_state->pool.inProgress();
}

}
