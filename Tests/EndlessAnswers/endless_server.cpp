#include "EndlessAnswers/endless_server.h"

#include "RawSocket/message_head.h"

namespace vanillashunt {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

    constexpr std::size_t blockBytes = 16384;
    constexpr std::chrono::milliseconds slowPause { 5 };

    std::string block(const std::string& text)
    {
        std::string result;
        while (result.size() < blockBytes) {
            result += text;
        }
        return result;
    }

}

std::vector<endless_answer> endlessAnswers()
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::vector<endless_answer> kinds {
        { "chunked body", ok + "Transfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n" },
        { "chunk header", ok + "Transfer-Encoding: chunked\r\n\r\n5;x=", "0123456789abcdef" },
        { "trailer field", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Endless: ", "0123456789abcdef" },
        { "body that ends with the connection", ok + "\r\n", "0123456789abcdef" },
        { "body of a length beyond all bounds", ok + "Content-Length: 9000000000000000000\r\n\r\n", "0123456789abcdef" },
        { "header field", ok + "X-Endless: ", "0123456789abcdef" },
        { "header", ok, "X-Endless: 0123456789abcdef\r\n" },
        { "informational answers", "", "HTTP/1.1 103 Early Hints\r\nX-Hint: 1\r\n\r\n" },
        { "bytes that are no HTTP", "", "\x01\x02 no answer \xff" },
    };
    std::vector<endless_answer> result;
    for (const auto& kind : kinds) {
        result.push_back({ kind.name, kind.first, block(kind.repeated) });
        result.push_back({ kind.name + ", a byte at a time", kind.first, kind.repeated, slowPause });
    }
    return result;
}

endless_server::endless_server(endless_answer answer)
    : m_answer(std::move(answer))
    , m_server([this](tcp::socket& socket) { serve(socket); })
{
}

void endless_server::serve(tcp::socket& socket)
{
    error_code error;
    std::string received;
    while (!m_server.ends()) {
        auto head = readHead(socket, received);
        if (head.empty()) {
            return;
        }
        if (head.find("small HTTP/1.1") == std::string::npos) {
            answerWithoutEnd(socket);
            return;
        }
        auto answer = "HTTP/1.1 200 OK\r\nVanillashunt-Server-Seal: seal\r\nVanillashunt-Request-Id: " + fieldOf(head, "Vanillashunt-Request-Id") + "\r\nContent-Length: 5\r\n\r\nsmall";
        asio::write(socket, asio::buffer(answer), error);
    }
}

void endless_server::answerWithoutEnd(tcp::socket& socket)
{
    ++m_begun;
    error_code error;
    // The first bytes come together, so that a caller may read the header with a part of the body.
    asio::write(socket, asio::buffer(m_answer.first + m_answer.repeated), error);
    while (!error && !m_server.ends() && m_answer.pause.count() == 0) {
        asio::write(socket, asio::buffer(m_answer.repeated), error);
    }
    for (std::size_t byte = 0; !error && !m_server.ends() && m_answer.pause.count() > 0; ++byte) {
        asio::write(socket, asio::buffer(&m_answer.repeated[byte % m_answer.repeated.size()], 1), error);
        std::this_thread::sleep_for(m_answer.pause);
    }
    if (!m_server.ends()) {
        ++m_closedByCaller;
    }
}

}
