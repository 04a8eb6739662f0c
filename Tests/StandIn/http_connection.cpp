#include "StandIn/http_connection.h"

#include "StandIn/event_loop.h"

#include <boost/asio/write.hpp>

#include <sstream>
#include <stdexcept>

namespace vanillashunt {

http_connection::http_connection(boost::asio::ip::tcp::socket socket, handler onRequest, handler onClosed)
    : m_socket(std::move(socket))
    , m_onRequest(std::move(onRequest))
    , m_onClosed(std::move(onClosed))
{
    boost::system::error_code ignored;
    m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
}

void http_connection::start()
{
    readRequest();
}

std::string http_connection::path() const
{
    std::string target(m_request.target());
    return target.substr(0, target.find('?'));
}

Json::Value http_connection::json() const
{
    Json::Value value;
    Json::CharReaderBuilder builder;
    std::string errors;
    std::istringstream stream(m_request.body());
    if (!Json::parseFromStream(builder, stream, &value, &errors)) {
        throw std::invalid_argument("the body is no JSON: " + errors);
    }
    return value;
}

void http_connection::readRequest()
{
    m_parser.emplace();
    m_parser->body_limit(largestBody);
    http::async_read(m_socket, m_buffer, *m_parser, [self = shared_from_this()](auto error, std::size_t) {
        if (!self->m_open) {
            return;
        }
        if (error) {
            self->close();
            return;
        }
        self->m_request = self->m_parser->release();
        self->m_callerLeft = nullptr;
        self->watchCaller();
        try {
            self->m_onRequest(self);
        } catch (const std::exception& fault) {
            Json::Value body;
            body["error"] = fault.what();
            self->answer(400, body);
        }
    });
}

void http_connection::watchCaller()
{
    m_socket.async_wait(boost::asio::ip::tcp::socket::wait_read,
        [self = shared_from_this(), exchange = m_exchange](boost::system::error_code error) {
            if (error || !self->m_open || exchange != self->m_exchange) {
                return;
            }
            auto available = self->m_socket.available(error);
            if (error || available == 0) {
                self->close();
            }
        });
}

void http_connection::answer(unsigned status, const Json::Value& body)
{
    http_response response(static_cast<http::status>(status), 11);
    response.set(http::field::content_type, "application/json");
    response.body() = toLine(body);
    answer(std::move(response));
}

void http_connection::answer(http_response response)
{
    if (!m_open) {
        return;
    }
    ++m_exchange;
    m_callerLeft = nullptr;
    m_response = std::move(response);
    m_response.keep_alive(m_request.keep_alive());
    m_response.prepare_payload();
    http::async_write(m_socket, m_response, [self = shared_from_this()](auto error, std::size_t) {
        if (!self->m_open) {
            return;
        }
        if (error || !self->m_response.keep_alive()) {
            self->close();
            return;
        }
        self->readRequest();
    });
}

void http_connection::startStream()
{
    m_chunks.push_back("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
    if (m_chunks.size() == 1) {
        writeNextChunk();
    }
}

void http_connection::sendChunk(const std::string& text)
{
    if (!m_open) {
        return;
    }
    std::ostringstream chunk;
    chunk << std::hex << text.size() << "\r\n"
          << text << "\r\n";
    m_chunks.push_back(chunk.str());
    if (m_chunks.size() == 1) {
        writeNextChunk();
    }
}

void http_connection::writeNextChunk()
{
    boost::asio::async_write(m_socket, boost::asio::buffer(m_chunks.front()), [self = shared_from_this()](auto error, std::size_t) {
        if (error || !self->m_open) {
            self->close();
            return;
        }
        self->m_chunks.pop_front();
        if (!self->m_chunks.empty()) {
            self->writeNextChunk();
        }
    });
}

void http_connection::close()
{
    if (!m_open) {
        return;
    }
    m_open = false;
    boost::system::error_code ignored;
    m_socket.close(ignored);
    if (auto hook = std::exchange(m_callerLeft, nullptr)) {
        hook();
    }
    m_onClosed(shared_from_this());
}

}
