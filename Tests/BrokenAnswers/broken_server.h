#pragma once

#include "RawSocket/threaded_server.h"

#include <atomic>
#include <mutex>
#include <string>
#include <vector>

namespace vanillashunt {

// How a broken_server ends a connection behind the bytes of its answer.
enum class connection_end {
    Closed, // Shuts down its sending side, and reads on until the client closes.
    ClosedThenReset, // Shuts down its sending side, and resets.
    Reset, // Resets at once.
    ResetLater, // Reads a part of the request's body, and resets.
    KeptOpen, // Waits until the client closes.
};

// When a broken_server answers.
enum class answer_time {
    BeforeBody, // Once the request's header has arrived; the body is not read.
    AfterRequest, // Once the whole request has arrived.
};

// What a broken_server sends. "{id}" stands for the value of the request's field Vanillashunt-Request-Id.
struct broken_answer {
    std::string bytes;
    connection_end end = connection_end::Closed;
    answer_time time = answer_time::AfterRequest;
};

// Sound answers with the body "the whole body" behind these lines of a header, at each answer_time: without a length
// and ended by the server, and with a length and reset.
std::vector<broken_answer> wholeAnswers(const std::string& head);

// A backend server in trouble. A request whose path ends in "sound" is answered properly, any other with the
// bytes of a broken_answer.
class broken_server {
public:
    explicit broken_server(broken_answer = {});

    std::string address() const { return m_server.address(); }

    void setAnswer(broken_answer);

    std::size_t connections() const { return m_connections; }
    std::size_t brokenAnswers() const { return m_brokenAnswers; }

private:
    using tcp = boost::asio::ip::tcp;

    void serve(tcp::socket&);
    void answer(tcp::socket&, const broken_answer&, const std::string& requestId);
    broken_answer currentAnswer();

    std::mutex m_mutex;
    broken_answer m_answer;
    std::atomic<std::size_t> m_connections = 0;
    std::atomic<std::size_t> m_brokenAnswers = 0;
    threaded_server m_server;
};

}
