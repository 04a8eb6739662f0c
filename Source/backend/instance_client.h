#pragma once

#include "http/http_message.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace vanillashunt {

// Why there is no answer of the server to a request.
struct instance_failure {
    // Whether any byte of the request may have reached the server.
    bool sent = false;
    std::string message;
};

using instance_result = std::variant<http_response, instance_failure>;
using instance_result_handler = std::function<void(instance_result)>;

struct instance_client_settings {
    // Address that connections are bound to; empty for any.
    std::string outgoingAddress;
    std::uint64_t maxBodyBytes = 64ULL * 1024 * 1024;
    // Idle connections that are kept. A new connection costs the server time.
    std::size_t maxIdle = 256;
    // Whether the answer belongs to the request of that id; one that does not is dropped.
    std::function<bool(const http_response&, const std::string& requestId)> isAnswerTo;
};

struct instance_client_counts {
    std::uint64_t connectionsOpened = 0;
    std::uint64_t foreignAnswers = 0;
    std::uint64_t extraBytes = 0;
};

// Sends requests to one server, one at a time on each connection, and takes only
// answers that are whole and that belong to the request. The fields are sent as
// they are, Host among them; only the length is added.
class instance_client {
public:
    instance_client(boost::asio::io_context&, instance_client_settings);
    ~instance_client();

    // Sends to "IP:port"; the handler is called exactly once, unless the request is cancelled.
    std::uint64_t send(const std::string& address, const std::string& requestId, const http_request&, instance_result_handler);

    // Closes the request's connection, by which the server drops it. The handler is not called.
    void cancel(std::uint64_t id);

    // Closes the connections that are kept for later requests.
    void closeIdle();

    // Whether any connection is open on which the server has answered the opening.
    bool hasOpenConnection() const;

    // Opens a connection to "IP:port" and closes it again; tells whether that could be done.
    void probe(const std::string& address, std::function<void(bool answered)>);

    const instance_client_counts& counts() const;
    std::size_t inProgress() const;

    struct state;

private:
    std::shared_ptr<state> m_state;
};

}
