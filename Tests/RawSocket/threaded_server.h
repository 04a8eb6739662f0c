#pragma once

#include "RawSocket/raw_socket.h"

#include <atomic>
#include <list>

namespace vanillashunt {

// Accepts connections, and serves each in a thread of its own until the object is destroyed.
class threaded_server {
public:
    using handler = std::function<void(boost::asio::ip::tcp::socket&)>;

    // The handler serves one connection, and returns when an operation on its socket fails.
    explicit threaded_server(handler serve)
        : m_serve(std::move(serve))
        , m_acceptor(m_context, { boost::asio::ip::make_address("127.0.0.1"), 0 })
        , m_accepting([this] { accept(); })
    {
    }

    ~threaded_server()
    {
        m_ends = true;
        // Wakes the thread that accepts.
        boost::asio::io_context context;
        boost::asio::ip::tcp::socket last(context);
        boost::system::error_code ignored;
        last.connect(m_acceptor.local_endpoint(), ignored);
        m_accepting.join();
        for (auto& each : m_connections) {
            each.socket.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
            each.thread.join();
        }
    }

    threaded_server(const threaded_server&) = delete;
    threaded_server& operator=(const threaded_server&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }

    // Whether the server is being destroyed.
    bool ends() const { return m_ends; }

private:
    struct connection {
        explicit connection(boost::asio::ip::tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }

        boost::asio::ip::tcp::socket socket;
        std::thread thread;
    };

    void accept()
    {
        while (!m_ends) {
            boost::system::error_code error;
            auto socket = m_acceptor.accept(error);
            if (error || m_ends) {
                return;
            }
            auto& added = m_connections.emplace_back(std::move(socket));
            added.thread = std::thread([this, &added] { m_serve(added.socket); });
        }
    }

    handler m_serve;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<bool> m_ends = false;
    std::list<connection> m_connections;
    std::thread m_accepting;
};

}
