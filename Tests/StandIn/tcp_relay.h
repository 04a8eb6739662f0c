#pragma once

#include "StandIn/relay_pipe.h"

#include <functional>
#include <memory>
#include <string>

namespace vanillashunt {

// Part of an answer: bytes, the end of the stream, or both.
struct answer_part {
    std::string bytes;
    bool isEnd = false;
};

// What a relayed connection asks of its link.
struct relay_hooks {
    std::function<fault_effects(const std::string& source)> effects;
    // Takes part of an answer that is to reach another connection.
    std::function<void(answer_part)> swap;
    // A rule has closed the connection.
    std::function<void(std::uint64_t rule)> noteClosed;
    std::function<void()> closed;
};

// One TCP connection through a link: a client, its upstream and a pipe each way.
class tcp_relay : public std::enable_shared_from_this<tcp_relay> {
public:
    using endpoint = boost::asio::ip::tcp::endpoint;

    tcp_relay(boost::asio::io_context&, relay_pipe::socket client, const endpoint& upstream);

    void start(relay_hooks);

    // Looks at the faults again after they have changed.
    void resume();

    // Sends the client an answer that may be another connection's.
    void sendToClient(const answer_part&);

    void close();

private:
    void connect();
    void startPipes();
    void takeAnswer(std::string bytes);
    void takeEndOfAnswers();
    void noteEnd();
    fault_effects effects() const { return m_hooks.effects(m_source); }

    boost::asio::io_context& m_io;
    relay_pipe::socket m_client;
    relay_pipe::socket m_server;
    endpoint m_upstream;
    std::string m_source;
    relay_hooks m_hooks;
    std::shared_ptr<relay_pipe> m_requests;
    std::shared_ptr<relay_pipe> m_answers;
    // Bytes of answers since a rule began to count them.
    std::uint64_t m_countedBytes = 0;
    // Of the client, of the upstream, and of what the client is sent.
    int m_ends = 0;
    bool m_isConnecting = false;
    bool m_isClosed = false;
};

}
