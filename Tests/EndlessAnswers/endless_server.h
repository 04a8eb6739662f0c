#pragma once

#include <boost/asio.hpp>

#include <atomic>
#include <chrono>
#include <list>
#include <mutex>
#include <string>
#include <thread>

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
    ~endless_server();

    std::string address() const;

    // Connections on which an endless answer has begun, and those that the caller has closed since.
    std::size_t begun() const { return m_begun; }
    std::size_t closedByCaller() const { return m_closedByCaller; }

private:
    using tcp = boost::asio::ip::tcp;

    struct connection {
        explicit connection(tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }

        tcp::socket socket;
        std::thread thread;
    };

    void accept();
    void serve(tcp::socket&);
    void answerWithoutEnd(tcp::socket&);

    endless_answer m_answer;
    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::atomic<bool> m_ends = false;
    std::atomic<std::size_t> m_begun = 0;
    std::atomic<std::size_t> m_closedByCaller = 0;
    std::mutex m_mutex;
    std::list<connection> m_connections;
    std::thread m_accepting;
};

}
