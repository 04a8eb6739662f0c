#pragma once

#include <boost/asio/io_context.hpp>
#include <caf/actor.hpp>
#include <caf/actor_system.hpp>
#include <caf/execution_unit.hpp>
#include <caf/mailbox_element.hpp>
#include <caf/message_id.hpp>

#include <utility>

namespace vanillashunt {

// Runs actors on the thread of an io_context, so that a message between a
// socket and an actor costs no change of thread.
class actor_host : public caf::execution_unit {
public:
    actor_host(caf::actor_system&, boost::asio::io_context&);

    void exec_later(caf::resumable*) override;

    // Sends a message from outside of any actor.
    template <typename Message>
    void send(const caf::actor& receiver, Message&& message)
    {
        auto element = caf::make_mailbox_element(nullptr, caf::make_message_id(), {}, std::forward<Message>(message));
        caf::actor_cast<caf::strong_actor_ptr>(receiver)->enqueue(std::move(element), this);
    }

    // Ends an actor that may still have mail. Its turn has to come before the
    // actor system is destroyed, which waits for every actor.
    void end(const caf::actor&);

private:
    boost::asio::io_context& m_context;
};

}
