// crashing_server PORT INSTANCE: serves on the loopback port (0 for any) as the start
// of that id, prints the port, and exits a moment after it has begun to run a request
// whose path has the word "poison". For one with "slow" it prints a line and takes
// ten seconds.

#include "RawSocket/message_head.h"
#include "RawSocket/raw_socket.h"

#include <cstdlib>
#include <iostream>
#include <thread>

namespace {

using boost::asio::ip::tcp;
using vanillashunt::fieldOf;

constexpr std::chrono::milliseconds runTime { 20 };
constexpr std::chrono::milliseconds slowRunTime { 10000 };
constexpr int crashed = 3;

std::string answerTo(const std::string& head, const std::string& instance)
{
    auto marks = "\r\nVanillashunt-Request-Id: " + fieldOf(head, "Vanillashunt-Request-Id");
    if (fieldOf(head, "Vanillashunt-Expect-Instance") != instance) {
        return "HTTP/1.1 421 Misdirected" + marks + "\r\nContent-Length: 0\r\n\r\n";
    }
    auto line = head.substr(0, head.find("\r\n"));
    bool isSlow = line.find("slow") != std::string::npos;
    if (isSlow) {
        std::cout << "slow" << std::endl;
    }
    std::this_thread::sleep_for(isSlow ? slowRunTime : runTime);
    if (line.find("poison") != std::string::npos) {
        std::_Exit(crashed);
    }
    return "HTTP/1.1 200 OK" + marks + "\r\nVanillashunt-Server-Seal: seal\r\nContent-Length: 2\r\n\r\nok";
}

void serve(vanillashunt::raw_socket connection, const std::string& instance)
{
    while (true) {
        auto head = connection.readUntil("\r\n\r\n");
        if (head.empty()) {
            return;
        }
        connection.send(answerTo(head, instance));
    }
}

}

int main(int, char** arguments)
{
    boost::asio::io_context context;
    tcp::acceptor acceptor(context, { boost::asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(std::stoi(arguments[1])) });
    std::cout << acceptor.local_endpoint().port() << std::endl;
    while (true) {
        std::thread(serve, vanillashunt::raw_socket(acceptor.accept()), std::string(arguments[2])).detach();
    }
}
