#include "http/http_client.h"

#include "budget/grant_handler.h"
#include "call/http_status.h"
#include "http/connection_pool.h"
#include "http/message_part.h"
#include "http/socket_address.h"

#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include <map>
#include <optional>
#include <unordered_map>

namespace vanillashunt {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

    // Limits the bytes that are received and not parsed, such as those of a chunk header without end.
    constexpr std::size_t maxBufferedBytes = 65536;

    // A longer header is read on only after it has been given room.
    constexpr std::size_t maxHeaderPartBytes = 4096;
    constexpr std::size_t maxPartBytes = 65536;

    // Further informational responses to a request are an error: read as fast as they come, they would hold up
    // the event loop until the time limit of the request, and beyond it.
    constexpr int maxInformationalResponses = 16;

    class client_connection;

}

struct http_client::state : std::enable_shared_from_this<http_client::state> {
    state(asio::io_context& ioContext, const http_client_settings& clientSettings)
        : context(ioContext)
        , settings(clientSettings)
    {
    }

    asio::io_context& context;
    http_client_settings settings;
    connection_pool<client_connection, http_result> pool;
};

namespace {

    // One connection to one server, with at most one request in progress.
    class client_connection : public std::enable_shared_from_this<client_connection> {
    public:
        client_connection(const std::shared_ptr<http_client::state>& client, std::string address)
            : m_client(client)
            , m_settings(client->settings)
            , m_stream(client->context)
            , m_address(std::move(address))
        {
        }

        const std::string& address() const { return m_address; }

        std::uint64_t activeRequestId = 0;

        void start(const http_request& request, std::chrono::milliseconds timeout)
        {
            prepare(request);
            m_sent = false;
            m_written = false;
            m_informationalResponses = 0;
            m_idle = false;
            m_stream.expires_after(timeout);
            if (m_stream.socket().is_open()) {
                write();
                return;
            }
            connect();
        }

        // Watches the idle socket, so that a connection closed by the server is removed from
        // the pool before a request is sent on it.
        void becomeIdle()
        {
            m_idle = true;
            m_stream.expires_never();
            m_stream.socket().async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
                if (error || !self->m_idle) {
                    return;
                }
                self->close();
                if (auto client = self->m_client.lock()) {
                    client->pool.dropIdle(self);
                }
            });
        }

        // Idle connections do not expire on this side: the server closes them.
        static std::chrono::steady_clock::time_point idleUntil() { return std::chrono::steady_clock::time_point::max(); }

        void close()
        {
            m_cancelled = true;
            m_stream.close();
        }

    private:
        void prepare(const http_request& request)
        {
            m_request = {};
            m_request.version(11);
            m_request.method_string(request.method);
            m_request.target(request.target);
            m_request.set(http::field::host, m_address);
            for (const auto& field : request.fields) {
                if (!isHopByHop(field.name)) {
                    m_request.insert(field.name, field.value);
                }
            }
            m_body = request.body;
            m_request.body() = { m_body.text().data(), m_body.size() };
            m_request.prepare_payload();
            beginResponse();
        }

        void beginResponse()
        {
            m_room = byte_reservation(m_settings.budget, m_settings.place);
            m_parser.emplace();
            m_parser->setMaxBodyBytes(m_settings.maxBodyBytes);
            m_parser->skip(m_request.method() == http::verb::head);
        }

        void connect()
        {
            auto endpoint = parseEndpoint(m_address);
            error_code error;
            if (!endpoint) {
                error = asio::error::invalid_argument;
            } else {
                openOutgoing(m_stream.socket(), *endpoint, m_settings.outgoingAddress, error);
            }
            if (error) {
                asio::post(m_stream.get_executor(), [self = shared_from_this(), error] { self->fail(error); });
                return;
            }
            m_stream.async_connect(*endpoint, [self = shared_from_this()](error_code connectError) {
                if (connectError) {
                    self->fail(connectError);
                    return;
                }
                self->write();
            });
        }

        void write()
        {
            m_sent = true;
            http::async_write(m_stream, m_request, [self = shared_from_this()](error_code error, std::size_t) {
                // A server that rejects a request early may respond and close before it has read
                // the whole request, so the response is still read.
                self->m_resets.written(error);
                self->m_written = !error;
                if (error && error != asio::error::broken_pipe && error != asio::error::connection_reset) {
                    self->fail(error);
                    return;
                }
                self->read();
            });
        }

        void read()
        {
            auto maxBytes = m_parser->is_header_done() ? maxPartBytes : maxHeaderPartBytes;
            readPart(m_stream, m_buffer, maxBytes, *m_parser, m_resets, [self = shared_from_this()](const error_code& error) { self->partArrived(error); });
        }

        void partArrived(error_code error)
        {
            while (!error && m_parser->is_done() && isInformationalStatus(m_parser->status)) {
                beginResponse();
                bool isTooMany = ++m_informationalResponses > maxInformationalResponses;
                error = isTooMany ? http::make_error_code(http::error::bad_status) : parseReceived(m_buffer, *m_parser);
            }
            if (error) {
                fail(error);
            } else if (m_parser->is_done()) {
                succeed();
            } else if (hasRoom()) {
                read();
            }
        }

        // Asks for room for the next part of the response.
        bool hasRoom()
        {
            auto grant = m_parser->reserveNextPart(m_room, m_buffer.size(), std::chrono::steady_clock::now(), grantHandler(weak_from_this(), &client_connection::roomDecided));
            if (grant == byte_grant::Refused) {
                failWithoutRoom();
            }
            return grant == byte_grant::Granted;
        }

        void roomDecided(byte_grant grant)
        {
            if (m_cancelled) {
                return;
            }
            if (grant == byte_grant::Refused) {
                failWithoutRoom();
                return;
            }
            read();
        }

        void failWithoutRoom()
        {
            http_failure failure;
            failure.sent = m_sent;
            failure.noMemory = true;
            failure.message = "no room for the response";
            end(std::move(failure), false);
        }

        void succeed()
        {
            bool reusable = m_written && m_parser->keep_alive() && m_buffer.size() == 0;
            http_response response;
            response.status = m_parser->status;
            response.fields = std::move(m_parser->fields);
            m_room.complete(m_parser->heldBytes());
            response.body = message_body(std::move(m_parser->body), std::move(m_room));
            end(std::move(response), reusable);
        }

        void fail(const error_code& error)
        {
            if (m_cancelled) {
                return;
            }
            http_failure failure;
            failure.sent = m_sent;
            failure.timedOut = error == beast::error::timeout;
            failure.tooLarge = error == http::error::body_limit;
            failure.message = error.message();
            end(std::move(failure), false);
        }

        void end(http_result result, bool reusable)
        {
            m_body.clear();
            m_room = {};
            if (auto client = m_client.lock()) {
                client->pool.end(shared_from_this(), std::move(result), reusable, m_settings.maxIdle);
            }
        }

        std::weak_ptr<http_client::state> m_client;
        http_client_settings m_settings;
        beast::tcp_stream m_stream;
        reset_detector m_resets;
        std::string m_address;
        beast::flat_buffer m_buffer { maxBufferedBytes };
        http::request<http::span_body<const char>> m_request;
        message_body m_body;
        byte_reservation m_room;
        std::optional<message_parser<false>> m_parser;
        bool m_sent = false;
        // Whether the whole request was written; nothing can be sent behind a part of it.
        bool m_written = false;
        int m_informationalResponses = 0;
        bool m_idle = false;
        bool m_cancelled = false;
    };

}

http_client::http_client(asio::io_context& context, const http_client_settings& settings)
    : m_state(std::make_shared<state>(context, settings))
{
}

http_client::~http_client() = default;

std::uint64_t http_client::send(const std::string& address, const http_request& request, std::chrono::milliseconds timeout, http_result_handler handler)
{
    auto connection = m_state->pool.takeIdle(address, std::chrono::steady_clock::now());
    if (!connection) {
        connection = std::make_shared<client_connection>(m_state, address);
    }
    auto id = m_state->pool.begin(connection, std::move(handler));
    connection->start(request, timeout);
    return id;
}

void http_client::cancel(std::uint64_t id)
{
    m_state->pool.cancel(id);
}

std::size_t http_client::inProgress() const
{
    return m_state->pool.inProgress();
}

}
