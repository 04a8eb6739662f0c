#pragma once

#include <boost/asio.hpp>

#include <atomic>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace vanillashunt {

// A backend server of large messages, with a thread for each connection. The last part of a request's path
// says what its answer has: "chunked-8" and "sized-8" 8 MiB, "endless" 25 MB/s until the connection is closed,
// anything else the number of bytes that the request's body had. Each request that was received completely
// counts as a run.
class bulk_server {
public:
    bulk_server();
    ~bulk_server();

    std::string address() const;

    // How often each request ran, by its id.
    std::map<std::string, int> runs();

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

    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::atomic<bool> m_ends = false;
    std::list<connection> m_connections;
    std::mutex m_mutex;
    std::map<std::string, int> m_runs;
    std::thread m_accepting;
};

// The piece of which the large answers consist.
const std::string& bulkPiece();

}
