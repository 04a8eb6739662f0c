#pragma once

#include "budget/byte_budget.h"
#include "http/http_message.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace vanillashunt {

enum class instance_failure_cause : std::uint8_t {
    Lost, // The connection failed, or its bytes are no answer to the request.
    AnswerTooLarge, // The answer exceeds the size limit, or seems to have no end.
    NoMemory, // The node had no room for the answer.
};

// Why a request has no answer from the server.
struct instance_failure {
    // Whether any byte of the request may have reached the server.
    bool sent = false;
    std::string message;
    instance_failure_cause cause = instance_failure_cause::Lost;
};

using instance_result = std::variant<http_response, instance_failure>;
using instance_result_handler = std::function<void(instance_result)>;

struct instance_client_settings {
    // Local address that connections are bound to; empty for any.
    std::string outgoingAddress;
    std::uint64_t maxBodyBytes = 64ULL * 1024 * 1024;
    // Maximum number of idle connections that are kept, since opening a connection costs the server time.
    std::size_t maxIdle = 256;
    // Returns whether the response answers the request with this id; any other response is discarded.
    std::function<bool(const http_response&, const std::string& requestId)> isAnswerTo;
    // Returns, from the status and the fields of a response to this request, whether it can be passed on
    // once it is complete. The rest of any other response is not received if it is long. Optional.
    std::function<bool(unsigned status, const http_fields&, const std::string& requestId)> isUsable;
    // Limits the bytes of all messages of the node. Optional.
    std::shared_ptr<byte_budget> budget;
};

struct instance_client_counts {
    std::uint64_t connectionsOpened = 0;
    // Answers that belong to other requests.
    std::uint64_t foreignAnswers = 0;
    // Bytes received after an answer or on an idle connection.
    std::uint64_t extraBytes = 0;
    // Answers that were cut off because of their size.
    std::uint64_t oversizedAnswers = 0;
};

// Sends requests to one server, one at a time on each connection, and accepts only complete answers
// that belong to the request. The fields are sent unchanged, including Host; only Content-Length is
// added.
class instance_client {
public:
    instance_client(boost::asio::io_context&, instance_client_settings);
    ~instance_client();

    // Sends to "IP:port". The handler is called exactly once, unless the request is cancelled.
    // Returns the id for cancel().
    std::uint64_t send(const std::string& address, const std::string& requestId, const http_request&, instance_result_handler);

    // Closes the request's connection, so that the server aborts the request. The handler is not called.
    void cancel(std::uint64_t id);

    // Closes the idle connections that are kept for later requests; the server is judged anew.
    void closeIdle();

    // Whether any connection is established.
    bool hasOpenConnection() const;

    // Opens a connection to "IP:port" and closes it again; reports whether it could be opened.
    void probe(const std::string& address, std::function<void(bool connected)>);

    const instance_client_counts& counts() const;
    std::size_t inProgress() const;

    struct state;

private:
    std::shared_ptr<state> m_state;
};

}
