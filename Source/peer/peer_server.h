#pragma once

#include "call/call_answer.h"
#include "call/call_request.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace vanillashunt {

// One call from a peer in progress. Ends with one answer or with its cancellation by the peer.
class peer_exchange {
public:
    virtual ~peer_exchange() = default;

    // Sends the answer; further calls do nothing.
    virtual void answer(const call_answer&) = 0;

    // Sets the callback that is called once if the peer closes the connection before answer(); it is called
    // at once if the peer has closed it already.
    virtual void setCancelHandler(std::function<void()>) = 0;
};

using peer_call_handler = std::function<void(call_request, std::shared_ptr<peer_exchange>)>;

// Accepts calls from other nodes. A connection that sends anything other than valid request
// frames is closed and counted.
class peer_server {
public:
    // Throws boost::system::system_error if the address cannot be bound.
    // The budget limits the bytes of all messages of the node; it may be null.
    peer_server(boost::asio::io_context&, const std::string& listenAddress, std::uint64_t maxBodyBytes, peer_call_handler, std::shared_ptr<byte_budget> = nullptr);
    ~peer_server();

    // The listening address, "IP:port".
    std::string address() const;

    // Connections closed because they sent invalid frames, since the start of the process.
    std::uint64_t damagedFrames() const;

    // Number of calls that are being handled or whose answer is being sent.
    std::size_t inProgress() const;

    struct state;

private:
    std::shared_ptr<state> m_state;
};

}
