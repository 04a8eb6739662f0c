#pragma once

#include "call/call_answer.h"
#include "call/call_request.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace vanillashunt {

// One call from a peer in progress: answered once, or told that the peer gave it up.
class peer_exchange {
public:
    virtual ~peer_exchange() = default;

    // Sends the answer; further calls do nothing.
    virtual void answer(const call_answer&) = 0;

    // Sets what is called once if the peer closes before the answer is sent.
    virtual void setCancelHandler(std::function<void()>) = 0;
};

using peer_call_handler = std::function<void(call_request, std::shared_ptr<peer_exchange>)>;

// Takes calls from other nodes. A connection that sends anything but whole
// frames is closed and counted.
class peer_server {
public:
    // Throws boost::system::system_error if the address cannot be bound.
    peer_server(boost::asio::io_context&, const std::string& listenAddress, std::uint64_t maxBodyBytes, peer_call_handler);
    ~peer_server();

    // Where it listens: "IP:port".
    std::string address() const;

    // Connections closed because of bytes that were no frame, since the start.
    std::uint64_t damagedFrames() const;

    void stopAccepting();

    // Calls that are being answered, or whose answer is being sent.
    std::size_t inProgress() const;

    struct state;

private:
    std::shared_ptr<state> m_state;
};

}
