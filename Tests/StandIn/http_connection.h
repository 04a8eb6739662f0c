#pragma once

#include "StandIn/http_types.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <json/json.h>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace vanillashunt {

// One caller's connection: reads a request, hands it to the handler, waits for
// its answer, and reads the next.
class http_connection : public std::enable_shared_from_this<http_connection> {
public:
    using pointer = std::shared_ptr<http_connection>;
    using handler = std::function<void(const pointer&)>;

    // The second handler hears once that the connection has closed.
    http_connection(boost::asio::ip::tcp::socket, handler onRequest, handler onClosed);

    void start();

    // The request that waits for its answer.
    const http_request& request() const { return m_request; }

    // The request's path without its query.
    std::string path() const;

    // Reads the request's body; throws std::exception where it is no JSON.
    Json::Value json() const;

    // Sets what is called when the caller goes before it is answered.
    void whenCallerLeaves(std::function<void()> hook) { m_callerLeft = std::move(hook); }

    // Ends the exchange; does nothing on a closed connection.
    void answer(http_response);
    void answer(unsigned status, const Json::Value& body);

    // Begins an answer that goes on until the connection closes.
    void startStream();
    void sendChunk(const std::string& text);

    // Closes without an answer.
    void close();

    bool isOpen() const { return m_open; }

    // Whether the connection came when there were too many already.
    bool isSurplus = false;

private:
    void readRequest();
    void watchCaller();
    void writeNextChunk();

    boost::asio::ip::tcp::socket m_socket;
    handler m_onRequest;
    handler m_onClosed;
    boost::beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    http_request m_request;
    http_response m_response;
    std::function<void()> m_callerLeft;
    std::deque<std::string> m_chunks;
    // Counts the requests, so that a late event of an earlier one is told apart.
    std::uint64_t m_exchange = 0;
    bool m_open = true;
};

}
