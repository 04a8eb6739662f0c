#include "RoutedWorld/bulk_server.h"

#include "RawSocket/message_head.h"

#include <algorithm>
#include <optional>

namespace vanillashunt {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

    constexpr std::size_t mebibyte = 1048576;
    constexpr std::size_t pieceBytes = 65536;
    constexpr std::chrono::microseconds endlessPause { 2500 };

    // The number of mebibytes that the path asks for after this word.
    std::optional<std::size_t> askedFor(const std::string& head, const std::string& word)
    {
        auto place = head.find("/" + word + "-");
        return place == std::string::npos ? std::nullopt : std::optional(std::stoul(head.substr(place + word.size() + 2)) * mebibyte);
    }

    void sendPieces(asio::ip::tcp::socket& socket, std::size_t bytes, bool chunked, error_code& error)
    {
        for (std::size_t sent = 0; sent < bytes && !error; sent += pieceBytes) {
            asio::write(socket, asio::buffer(chunked ? "10000\r\n" + bulkPiece() + "\r\n" : bulkPiece()), error);
        }
        if (chunked) {
            asio::write(socket, asio::buffer(std::string("0\r\n\r\n")), error);
        }
    }

    void sendWithoutEnd(asio::ip::tcp::socket& socket, error_code& error)
    {
        while (!error) {
            asio::write(socket, asio::buffer("10000\r\n" + bulkPiece() + "\r\n"), error);
            std::this_thread::sleep_for(endlessPause);
        }
    }

    void receiveBody(asio::ip::tcp::socket& socket, std::string& received, std::size_t bytes, error_code& error)
    {
        std::string piece(pieceBytes, ' ');
        auto left = bytes - std::min(bytes, received.size());
        received.erase(0, bytes);
        while (left > 0 && !error) {
            left -= socket.read_some(asio::buffer(piece.data(), std::min(left, pieceBytes)), error);
        }
    }

}

const std::string& bulkPiece()
{
    static const std::string piece(pieceBytes, 'x');
    return piece;
}

bulk_server::bulk_server()
    : m_server([this](tcp::socket& socket) { serve(socket); })
{
}

std::map<std::string, int> bulk_server::runs()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_runs;
}

void bulk_server::serve(tcp::socket& socket)
{
    error_code error;
    std::string received;
    while (!error) {
        auto head = readHead(socket, received);
        if (head.empty()) {
            return;
        }
        auto length = fieldOf(head, "Content-Length");
        receiveBody(socket, received, length.empty() ? 0 : std::stoul(length), error);
        if (error) {
            return;
        }
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            ++m_runs[fieldOf(head, "Vanillashunt-Request-Id")];
        }
        auto answer = "HTTP/1.1 200 OK\r\nVanillashunt-Server-Seal: seal\r\nVanillashunt-Request-Id: " + fieldOf(head, "Vanillashunt-Request-Id") + "\r\n";
        if (auto chunked = askedFor(head, "chunked")) {
            asio::write(socket, asio::buffer(answer + "Transfer-Encoding: chunked\r\n\r\n"), error);
            sendPieces(socket, *chunked, true, error);
        } else if (auto sized = askedFor(head, "sized")) {
            asio::write(socket, asio::buffer(answer + "Content-Length: " + std::to_string(*sized) + "\r\n\r\n"), error);
            sendPieces(socket, *sized, false, error);
        } else if (head.find("/endless HTTP") != std::string::npos) {
            asio::write(socket, asio::buffer(answer + "Transfer-Encoding: chunked\r\n\r\n"), error);
            sendWithoutEnd(socket, error);
        } else {
            auto text = length.empty() ? "0" : length;
            answer.append("Content-Length: ").append(std::to_string(text.size())).append("\r\n\r\n").append(text);
            asio::write(socket, asio::buffer(answer), error);
        }
    }
}

}
