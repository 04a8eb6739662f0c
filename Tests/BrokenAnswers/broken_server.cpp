#include "BrokenAnswers/broken_server.h"

#include "RawSocket/message_head.h"

#include <algorithm>
#include <array>

#include <sys/socket.h>

namespace vanillashunt {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

    // A small receive buffer keeps a client from writing a large request while none of it is read.
    constexpr int receiveBufferBytes = 65536;
    constexpr std::size_t partBytes = 1024UL * 1024;

    std::size_t bodyBytesOf(const std::string& head)
    {
        auto length = fieldOf(head, "Content-Length");
        return length.empty() ? 0 : std::stoul(length);
    }

    void discardToEnd(asio::ip::tcp::socket& socket)
    {
        std::array<char, 65536> bytes {};
        error_code error;
        while (!error) {
            socket.read_some(asio::buffer(bytes), error);
        }
    }

    void discard(asio::ip::tcp::socket& socket, std::size_t count)
    {
        std::string bytes(count, ' ');
        error_code ignored;
        asio::read(socket, asio::buffer(bytes), ignored);
    }

    // Disconnecting resets the connection, and leaves the descriptor to the thread that ends the server.
    void reset(asio::ip::tcp::socket& socket)
    {
        sockaddr none {};
        none.sa_family = AF_UNSPEC;
        static_cast<void>(::connect(socket.native_handle(), &none, sizeof(none)));
    }

    std::string withId(std::string text, const std::string& requestId)
    {
        const std::string place = "{id}";
        for (auto found = text.find(place); found != std::string::npos; found = text.find(place, found + requestId.size())) {
            text.replace(found, place.size(), requestId);
        }
        return text;
    }

    const std::string soundAnswer = "HTTP/1.1 200 OK\r\nVanillashunt-Server-Seal: seal\r\nVanillashunt-Request-Id: {id}\r\nContent-Length: 5\r\n\r\nsound";

}

std::vector<broken_answer> wholeAnswers(const std::string& head)
{
    const std::string withoutLength = head + "\r\nthe whole body";
    // The next request comes on another connection, which nothing behind this answer ends.
    const std::string withLength = head + "Connection: close\r\nContent-Length: 14\r\n\r\nthe whole body";
    std::vector<broken_answer> answers;
    for (auto time : { answer_time::BeforeBody, answer_time::AfterRequest }) {
        answers.push_back({ withoutLength, connection_end::Closed, time });
        answers.push_back({ withoutLength, connection_end::ClosedThenReset, time });
        answers.push_back({ withLength, connection_end::Reset, time });
    }
    return answers;
}

broken_server::broken_server(broken_answer answer)
    : m_answer(std::move(answer))
    , m_server([this](tcp::socket& socket) { serve(socket); })
{
}

void broken_server::setAnswer(broken_answer answer)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_answer = std::move(answer);
}

broken_answer broken_server::currentAnswer()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_answer;
}

void broken_server::serve(tcp::socket& socket)
{
    ++m_connections;
    error_code error;
    socket.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes), error);
    std::string received;
    while (!m_server.ends()) {
        auto head = readHead(socket, received);
        if (head.empty()) {
            return;
        }
        bool isSound = head.find("sound HTTP/1.1") != std::string::npos;
        auto broken = currentAnswer();
        if (isSound || broken.time == answer_time::AfterRequest) {
            auto arrived = std::min(received.size(), bodyBytesOf(head));
            discard(socket, bodyBytesOf(head) - arrived);
            received.erase(0, arrived);
        }
        auto requestId = fieldOf(head, "Vanillashunt-Request-Id");
        if (!isSound) {
            answer(socket, broken, requestId);
            return;
        }
        asio::write(socket, asio::buffer(withId(soundAnswer, requestId)), error);
    }
}

// The connection has ended when this returns.
void broken_server::answer(tcp::socket& socket, const broken_answer& broken, const std::string& requestId)
{
    ++m_brokenAnswers;
    error_code ignored;
    asio::write(socket, asio::buffer(withId(broken.bytes, requestId)), ignored);
    switch (broken.end) {
    case connection_end::Closed:
        socket.shutdown(tcp::socket::shutdown_send, ignored);
        break;
    case connection_end::ClosedThenReset:
        socket.shutdown(tcp::socket::shutdown_send, ignored);
        reset(socket);
        return;
    case connection_end::Reset:
        reset(socket);
        return;
    case connection_end::ResetLater:
        discard(socket, partBytes);
        reset(socket);
        return;
    case connection_end::KeptOpen:
        break;
    }
    discardToEnd(socket);
}

}
