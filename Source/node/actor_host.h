#pragma once

#include <boost/asio/io_context.hpp>
#include <caf/actor.hpp>
#include <caf/actor_system.hpp>
#include <caf/execution_unit.hpp>
#include <caf/mailbox_element.hpp>
#include <caf/message_id.hpp>

#include <utility>

namespace vanillashunt {

// Runs actors on the thread of an io_context, so that passing a message between
// a socket and an actor needs no thread switch.
class actor_host : public caf::execution_unit {
public:
    actor_host(caf::actor_system&, boost::asio::io_context&);

    void exec_later(caf::resumable*) override;

    // Sends a message that has no actor as its sender.
    template <typename Message>
    void send(const caf::actor& receiver, Message&& message)
    {
        auto element = caf::make_mailbox_element(nullptr, caf::make_message_id(), {}, std::forward<Message>(message));
        caf::actor_cast<caf::strong_actor_ptr>(receiver)->enqueue(std::move(element), this);
    }

    // Terminates an actor, even if its mailbox holds messages. The io_context has to
    // run the actor once more before the actor system is destroyed, whose destructor
    // waits for every actor.
    void end(const caf::actor&);

private:
    boost::asio::io_context& m_context;
};

}
