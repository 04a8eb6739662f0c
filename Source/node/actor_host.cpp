#include "node/actor_host.h"

#include <boost/asio/post.hpp>
#include <caf/exit_reason.hpp>
#include <caf/resumable.hpp>
#include <caf/system_messages.hpp>

namespace vanillashunt {

namespace {

    // Messages that an actor handles before the io_context serves the sockets again.
    constexpr std::size_t maxMessagesPerResume = 50;

}

actor_host::actor_host(caf::actor_system& system, boost::asio::io_context& context)
    : caf::execution_unit(&system)
    , m_context(context)
{
}

void actor_host::end(const caf::actor& actor)
{
    send(actor, caf::exit_msg { actor.address(), caf::exit_reason::kill });
}

void actor_host::exec_later(caf::resumable* actor)
{
    boost::asio::post(m_context, [this, actor] {
        switch (actor->resume(this, maxMessagesPerResume)) {
        case caf::resumable::resume_later:
            exec_later(actor);
            return;
        case caf::resumable::done:
        case caf::resumable::awaiting_message:
            caf::intrusive_ptr_release(actor);
            return;
        case caf::resumable::shutdown_execution_unit:
            return;
        }
    });
}

}
