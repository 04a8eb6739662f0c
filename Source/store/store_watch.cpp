#include "store/store_watch.h"

#include "http/socket_address.h"
#include "store/gateway_json.h"

#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include <optional>

namespace vanillashunt {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

    constexpr std::size_t readBytes = 16384;
    // A line of the stream that is longer than this is not the gateway's: a
    // value has a megabyte at most.
    constexpr std::size_t longestLine = 4UL * 1024 * 1024;
    constexpr std::chrono::seconds connectTimeout { 2 };
    constexpr unsigned statusOk = 200;

    std::string watchBody(const std::string& prefix, std::int64_t fromRevision)
    {
        Json::Value body;
        auto& create = body["create_request"];
        create["key"] = encodeBase64(prefix);
        create["range_end"] = encodeBase64(prefixEnd(prefix));
        create["start_revision"] = std::to_string(fromRevision);
        return writeJson(body);
    }

}

class store_watch::stream : public std::enable_shared_from_this<store_watch::stream> {
public:
    stream(asio::io_context& context, store_watch_hooks hooks)
        : m_stream(context)
        , m_hooks(std::move(hooks))
    {
    }

    void start(const std::string& endpointText, const std::string& outgoingAddress, const std::string& body)
    {
        prepare(endpointText, body);
        auto endpoint = parseEndpoint(endpointText);
        error_code error;
        if (!endpoint) {
            error = asio::error::invalid_argument;
        } else {
            openOutgoing(m_stream.socket(), *endpoint, outgoingAddress, error);
        }
        if (error) {
            asio::post(m_stream.get_executor(), [self = shared_from_this(), error] { self->end(error.message()); });
            return;
        }
        m_stream.expires_after(connectTimeout);
        m_stream.async_connect(*endpoint, [self = shared_from_this()](error_code connectError) {
            if (connectError) {
                self->end(connectError.message());
                return;
            }
            self->write();
        });
    }

    void stop()
    {
        m_stopped = true;
        m_stream.close();
    }

private:
    void prepare(const std::string& endpointText, const std::string& body)
    {
        m_request.version(11);
        m_request.method(http::verb::post);
        m_request.target("/v3/watch");
        m_request.set(http::field::host, endpointText);
        m_request.set(http::field::content_type, "application/json");
        m_request.body() = body;
        m_request.prepare_payload();
        m_parser.body_limit(boost::none);
    }

    void write()
    {
        http::async_write(m_stream, m_request, [self = shared_from_this()](error_code error, std::size_t) {
            if (error) {
                self->end(error.message());
                return;
            }
            self->readHead();
        });
    }

    void readHead()
    {
        http::async_read_header(m_stream, m_buffer, m_parser, [self = shared_from_this()](error_code error, std::size_t) {
            if (error) {
                self->end(error.message());
                return;
            }
            if (self->m_parser.get().result_int() != statusOk) {
                self->end("the store answered with status " + std::to_string(self->m_parser.get().result_int()));
                return;
            }
            self->m_stream.expires_never();
            self->readSome();
        });
    }

    void readSome()
    {
        m_chunk.resize(readBytes);
        m_parser.get().body().data = m_chunk.data();
        m_parser.get().body().size = m_chunk.size();
        http::async_read_some(m_stream, m_buffer, m_parser, [self = shared_from_this()](error_code error, std::size_t) {
            if (error && error != http::error::need_buffer) {
                self->end(error.message());
                return;
            }
            auto read = self->m_chunk.size() - self->m_parser.get().body().size;
            self->m_text.append(self->m_chunk.data(), read);
            if (self->m_text.size() > longestLine || self->m_parser.is_done()) {
                self->end("the stream ended");
                return;
            }
            self->takeLines();
            if (!self->m_stopped) {
                self->readSome();
            }
        });
    }

    void takeLines()
    {
        for (auto end = m_text.find('\n'); end != std::string::npos && !m_stopped; end = m_text.find('\n')) {
            auto line = m_text.substr(0, end);
            m_text.erase(0, end + 1);
            takeLine(line);
        }
    }

    void takeLine(const std::string& line)
    {
        auto value = readJson(line);
        if (!value.isObject() || !value["result"].isObject()) {
            return;
        }
        const auto& result = value["result"];
        if (result["canceled"].isBool() && result["canceled"].asBool()) {
            end("the store cancelled the watch");
            return;
        }
        store_range range;
        range.revision = readInteger(result["header"]["revision"]);
        for (const auto& event : result["events"]) {
            if (auto entry = readEntry(event["kv"])) {
                range.entries.push_back(std::move(*entry));
            }
        }
        if (!range.entries.empty()) {
            m_hooks.changed(range);
        }
    }

    void end(const std::string& why)
    {
        if (std::exchange(m_stopped, true)) {
            return;
        }
        m_stream.close();
        m_hooks.ended(why);
    }

    beast::tcp_stream m_stream;
    store_watch_hooks m_hooks;
    http::request<http::string_body> m_request;
    http::response_parser<http::buffer_body> m_parser;
    beast::flat_buffer m_buffer;
    std::vector<char> m_chunk;
    std::string m_text;
    bool m_stopped = false;
};

store_watch::store_watch(asio::io_context& context, const std::string& endpoint, const std::string& outgoingAddress,
    const std::string& prefix, std::int64_t fromRevision, store_watch_hooks hooks)
    : m_stream(std::make_shared<stream>(context, std::move(hooks)))
{
    m_stream->start(endpoint, outgoingAddress, watchBody(prefix, fromRevision));
}

store_watch::~store_watch()
{
    m_stream->stop();
}

}
