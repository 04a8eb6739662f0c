#pragma once

#include <boost/asio.hpp>

#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>

namespace vanillashunt {

// Runs an io_context on a separate thread until the object is destroyed.
class context_thread {
public:
    context_thread()
        : m_work(boost::asio::make_work_guard(context))
        , m_thread([this] { context.run(); })
    {
    }

    ~context_thread()
    {
        context.stop();
        m_thread.join();
    }

    context_thread(const context_thread&) = delete;
    context_thread& operator=(const context_thread&) = delete;

    // Runs the function on the thread and returns when it has finished.
    void runAndWait(const std::function<void()>& work)
    {
        std::promise<void> done;
        boost::asio::post(context, [&] {
            work();
            done.set_value();
        });
        done.get_future().wait();
    }

    boost::asio::io_context context { 1 };

private:
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

// A blocking TCP connection on which a test controls every byte that is sent.
class raw_socket {
public:
    explicit raw_socket(boost::asio::ip::tcp::socket socket)
        : m_socket(std::move(socket))
    {
    }

    static raw_socket connectTo(const std::string& address)
    {
        auto colon = address.rfind(':');
        auto port = static_cast<unsigned short>(std::stoi(address.substr(colon + 1)));
        boost::asio::ip::tcp::socket socket(sharedContext());
        socket.connect({ boost::asio::ip::make_address(address.substr(0, colon)), port });
        return raw_socket(std::move(socket));
    }

    void send(const std::string& bytes) { boost::asio::write(m_socket, boost::asio::buffer(bytes)); }

    // Sends as many of the bytes as the peer takes before the connection ends.
    void trySend(const std::string& bytes)
    {
        boost::system::error_code ignored;
        boost::asio::write(m_socket, boost::asio::buffer(bytes), ignored);
    }

    // Reads up to and including the text; returns less if the connection ends first.
    std::string readUntil(const std::string& text)
    {
        boost::system::error_code error;
        auto count = boost::asio::read_until(m_socket, boost::asio::dynamic_buffer(m_read), text, error);
        m_isClosedByPeer = error == boost::asio::error::eof;
        auto taken = error ? m_read.size() : count;
        auto result = m_read.substr(0, taken);
        m_read.erase(0, taken);
        return result;
    }

    // Whether the last readUntil() ended because the peer closed the connection and did not reset it.
    bool isClosedByPeer() const { return m_isClosedByPeer; }

    // Reads exactly count bytes; returns fewer if the connection ends first.
    std::string readBytes(std::size_t count)
    {
        boost::system::error_code error;
        if (m_read.size() < count) {
            boost::asio::read(m_socket, boost::asio::dynamic_buffer(m_read), boost::asio::transfer_exactly(count - m_read.size()), error);
        }
        auto result = m_read.substr(0, count);
        m_read.erase(0, result.size());
        return result;
    }

    std::string readToEnd()
    {
        boost::system::error_code error;
        boost::asio::read(m_socket, boost::asio::dynamic_buffer(m_read), error);
        return std::exchange(m_read, {});
    }

    // Reads to the end; whether the peer closed the connection and did not reset it.
    bool endsWithoutReset()
    {
        boost::system::error_code error;
        boost::asio::read(m_socket, boost::asio::dynamic_buffer(m_read), error);
        return error == boost::asio::error::eof;
    }

    void close() { m_socket.close(); }

    // Shuts down the sending side: the peer reads the end of the connection.
    void endSending() { m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send); }

    // Resets the connection (RST), as after a crash: reads at the other side fail.
    void reset()
    {
        m_socket.set_option(boost::asio::socket_base::linger(true, 0));
        m_socket.close();
    }

    static boost::asio::io_context& sharedContext()
    {
        static boost::asio::io_context context;
        return context;
    }

private:
    boost::asio::ip::tcp::socket m_socket;
    std::string m_read;
    bool m_isClosedByPeer = false;
};

// A listening socket for a server that a test implements byte by byte.
class raw_listener {
public:
    raw_listener()
        : m_acceptor(raw_socket::sharedContext(), { boost::asio::ip::make_address("127.0.0.1"), 0 })
    {
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }

    raw_socket accept() { return raw_socket(m_acceptor.accept()); }

private:
    boost::asio::ip::tcp::acceptor m_acceptor;
};

}
