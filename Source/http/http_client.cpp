#include "http/http_client.h"

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

    class client_connection;
    using connection_ptr = std::shared_ptr<client_connection>;

}

struct http_client::state : std::enable_shared_from_this<http_client::state> {
    state(asio::io_context& ioContext, const http_client_settings& clientSettings)
        : context(ioContext)
        , settings(clientSettings)
    {
    }

    connection_ptr takeIdle(const std::string& address);
    void finish(const connection_ptr&, http_result, bool reusable);
    void dropIdle(const connection_ptr&);

    asio::io_context& context;
    http_client_settings settings;
    std::uint64_t lastId = 0;
    std::unordered_map<std::uint64_t, connection_ptr> active;
    std::unordered_map<std::uint64_t, http_result_handler> handlers;
    std::map<std::string, std::vector<connection_ptr>> idle;
};

namespace {

    // One connection to one server, with at most one request in progress.
    class client_connection : public std::enable_shared_from_this<client_connection> {
    public:
        using finished_hook = std::function<void(const connection_ptr&, http_result, bool reusable)>;
        using idle_closed_hook = std::function<void(const connection_ptr&)>;

        client_connection(asio::io_context& context, std::string address, finished_hook finished, idle_closed_hook idleClosed)
            : m_stream(context)
            , m_address(std::move(address))
            , m_finished(std::move(finished))
            , m_idleClosed(std::move(idleClosed))
        {
        }

        const std::string& address() const { return m_address; }

        std::uint64_t requestId = 0;

        void start(const http_request& request, std::uint64_t maxBodyBytes, std::chrono::milliseconds timeout, const std::string& outgoingAddress)
        {
            prepare(request, maxBodyBytes);
            m_sent = false;
            m_idle = false;
            m_stream.expires_after(timeout);
            if (m_stream.socket().is_open()) {
                write();
                return;
            }
            connect(outgoingAddress);
        }

        // Notices a server that closes an idle connection before a request is lost on it.
        void watchIdle()
        {
            m_idle = true;
            m_stream.expires_never();
            m_stream.socket().async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
                if (error || !self->m_idle) {
                    return;
                }
                self->close();
                self->m_idleClosed(self);
            });
        }

        void close()
        {
            m_cancelled = true;
            m_stream.close();
        }

    private:
        void prepare(const http_request& request, std::uint64_t maxBodyBytes)
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
            m_request.body() = request.body;
            m_request.prepare_payload();
            m_parser.emplace();
            m_parser->body_limit(maxBodyBytes);
            if (request.method == "HEAD") {
                m_parser->skip(true);
            }
        }

        void connect(const std::string& outgoingAddress)
        {
            auto endpoint = parseEndpoint(m_address);
            error_code error;
            if (!endpoint) {
                error = asio::error::invalid_argument;
            } else {
                openOutgoing(m_stream.socket(), *endpoint, outgoingAddress, error);
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
                // A server that refuses early may answer and close before it has read everything.
                if (error && error != asio::error::broken_pipe && error != asio::error::connection_reset) {
                    self->fail(error);
                    return;
                }
                self->read();
            });
        }

        void read()
        {
            http::async_read(m_stream, m_buffer, *m_parser, [self = shared_from_this()](error_code error, std::size_t) {
                if (error) {
                    self->fail(error);
                    return;
                }
                self->succeed();
            });
        }

        void succeed()
        {
            auto message = m_parser->release();
            http_response response;
            response.status = message.result_int();
            for (const auto& field : message) {
                auto name = std::string(field.name_string());
                if (!isHopByHop(name)) {
                    response.fields.push_back({ name, std::string(field.value()) });
                }
            }
            response.body = std::move(message.body());
            bool reusable = message.keep_alive() && m_buffer.size() == 0;
            m_finished(shared_from_this(), std::move(response), reusable);
        }

        void fail(const error_code& error)
        {
            if (m_cancelled) {
                return;
            }
            http_failure failure;
            failure.sent = m_sent;
            failure.timedOut = error == beast::error::timeout;
            failure.message = error.message();
            m_finished(shared_from_this(), std::move(failure), false);
        }

        beast::tcp_stream m_stream;
        std::string m_address;
        finished_hook m_finished;
        idle_closed_hook m_idleClosed;
        beast::flat_buffer m_buffer;
        http::request<http::string_body> m_request;
        std::optional<http::response_parser<http::string_body>> m_parser;
        bool m_sent = false;
        bool m_idle = false;
        bool m_cancelled = false;
    };

}

connection_ptr http_client::state::takeIdle(const std::string& address)
{
    auto found = idle.find(address);
    if (found == idle.end() || found->second.empty()) {
        return nullptr;
    }
    auto connection = found->second.back();
    found->second.pop_back();
    return connection;
}

void http_client::state::finish(const connection_ptr& connection, http_result result, bool reusable)
{
    auto handler = handlers.extract(connection->requestId);
    active.erase(connection->requestId);
    auto& kept = idle[connection->address()];
    if (reusable && kept.size() < settings.maxIdle) {
        kept.push_back(connection);
        connection->watchIdle();
    } else {
        connection->close();
    }
    if (handler) {
        handler.mapped()(std::move(result));
    }
}

void http_client::state::dropIdle(const connection_ptr& connection)
{
    auto& kept = idle[connection->address()];
    kept.erase(std::remove(kept.begin(), kept.end(), connection), kept.end());
}

http_client::http_client(asio::io_context& context, const http_client_settings& settings)
    : m_state(std::make_shared<state>(context, settings))
{
}

http_client::~http_client()
{
    for (auto& [id, connection] : m_state->active) {
        connection->close();
    }
    for (auto& [address, connections] : m_state->idle) {
        for (auto& connection : connections) {
            connection->close();
        }
    }
    m_state->active.clear();
    m_state->idle.clear();
}

std::uint64_t http_client::send(const std::string& address, const http_request& request, std::chrono::milliseconds timeout, http_result_handler handler)
{
    auto id = ++m_state->lastId;
    auto connection = m_state->takeIdle(address);
    if (!connection) {
        std::weak_ptr<state> weak = m_state;
        auto finished = [weak](const connection_ptr& done, http_result result, bool reusable) {
            if (auto self = weak.lock()) {
                self->finish(done, std::move(result), reusable);
            }
        };
        auto idleClosed = [weak](const connection_ptr& closed) {
            if (auto self = weak.lock()) {
                self->dropIdle(closed);
            }
        };
        connection = std::make_shared<client_connection>(m_state->context, address, finished, idleClosed);
    }
    connection->requestId = id;
    m_state->active[id] = connection;
    m_state->handlers[id] = std::move(handler);
    connection->start(request, m_state->settings.maxBodyBytes, timeout, m_state->settings.outgoingAddress);
    return id;
}

void http_client::cancel(std::uint64_t id)
{
    auto found = m_state->active.find(id);
    if (found == m_state->active.end()) {
        return;
    }
    auto connection = found->second;
    m_state->active.erase(found);
    m_state->handlers.erase(id);
    connection->close();
}

std::size_t http_client::inProgress() const
{
    return m_state->active.size();
}

}
