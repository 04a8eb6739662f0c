#include "Harness/http_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace vanillashunt {

namespace {

    namespace http = boost::beast::http;

    constexpr std::uint64_t largestBody = 64ULL * 1024 * 1024;

    // One request under way.
    class exchange {
    public:
        exchange(http::request<http::string_body> request, std::chrono::milliseconds timeout)
            : m_stream(m_io)
            , m_request(std::move(request))
        {
            m_parser.body_limit(largestBody);
            m_stream.expires_after(timeout);
        }

        http_result run(const boost::asio::ip::tcp::endpoint& target)
        {
            m_stream.async_connect(target, [this](boost::system::error_code error) {
                if (succeeded("connect", error)) {
                    write();
                }
            });
            m_io.run();
            return m_result;
        }

    private:
        void write()
        {
            http::async_write(m_stream, m_request, [this](boost::system::error_code error, std::size_t) {
                if (succeeded("write", error)) {
                    read();
                }
            });
        }

        void read()
        {
            http::async_read(m_stream, m_buffer, m_parser, [this](boost::system::error_code error, std::size_t) {
                if (succeeded("read", error)) {
                    m_result = toAnswer();
                }
            });
        }

        bool succeeded(const std::string& step, boost::system::error_code error)
        {
            if (error) {
                m_result = http_error { step + ": " + error.message(), error == boost::beast::error::timeout, m_parser.get().body() };
            }
            return !error;
        }

        http_answer toAnswer() const
        {
            const auto& message = m_parser.get();
            http_answer answer;
            answer.status = message.result_int();
            answer.body = message.body();
            for (const auto& field : message) {
                answer.fields[std::string(field.name_string())] = std::string(field.value());
            }
            return answer;
        }

        boost::asio::io_context m_io { 1 };
        boost::beast::tcp_stream m_stream;
        http::request<http::string_body> m_request;
        http::response_parser<http::string_body> m_parser;
        boost::beast::flat_buffer m_buffer;
        http_result m_result;
    };

}

std::string http_answer::field(const std::string& name) const
{
    auto found = fields.find(name);
    return found == fields.end() ? "" : found->second;
}

http_result request(const std::string& method, const std::string& address, const std::string& path,
    const http_fields& fields, const std::string& body, std::chrono::milliseconds timeout)
{
    auto colon = address.rfind(':');
    boost::system::error_code error;
    auto ip = boost::asio::ip::make_address(address.substr(0, colon), error);
    if (error || colon == std::string::npos) {
        return http_error { "\"" + address + "\" is no address; write IP:port", false, "" };
    }
    http::request<http::string_body> message;
    message.method_string(method);
    message.target(path);
    message.version(11);
    message.set(http::field::host, address);
    message.keep_alive(false);
    for (const auto& [name, value] : fields) {
        message.set(name, value);
    }
    message.body() = body;
    message.prepare_payload();
    auto port = static_cast<unsigned short>(std::stoul(address.substr(colon + 1)));
    return exchange(std::move(message), timeout).run({ ip, port });
}

}
