#pragma once

#include "RawSocket/threaded_server.h"

#include <atomic>
#include <chrono>
#include <string>
#include <vector>

namespace vanillashunt {

// What an endless_server sends until its caller closes the connection: bytes that come once, then bytes
// that are repeated.
struct endless_answer {
    std::string name;
    std::string first;
    std::string repeated;
    // The pause after each single byte; without one, bytes are sent as fast as they are taken.
    std::chrono::milliseconds pause { 0 };
};

// All kinds of answers without an end, each fast and a byte at a time.
std::vector<endless_answer> endlessAnswers();

// A backend server in trouble. A request whose path ends in "small" is answered properly, any other without
// an end.
class endless_server {
public:
    explicit endless_server(endless_answer);

    std::string address() const { return m_server.address(); }

    // Connections on which an endless answer has begun, and those that the caller has closed since.
    std::size_t begun() const { return m_begun; }
    std::size_t closedByCaller() const { return m_closedByCaller; }

private:
    using tcp = boost::asio::ip::tcp;

    void serve(tcp::socket&);
    void answerWithoutEnd(tcp::socket&);

    endless_answer m_answer;
    std::atomic<std::size_t> m_begun = 0;
    std::atomic<std::size_t> m_closedByCaller = 0;
    threaded_server m_server;
};

}
