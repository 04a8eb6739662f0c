#include "node/membership_service.h"

#include "node/membership_actor.h"
#include "node/membership_messages.h"

namespace vanillashunt {

membership_service::membership_service(actor_host& host, boost::asio::io_context& context, metadata_store& store, std::string meshName, std::vector<std::string> joinAddresses, membership_hooks hooks)
    : m_host(host)
    , m_context(context)
    , m_store(store)
    , m_meshName(std::move(meshName))
    , m_joinAddresses(std::move(joinAddresses))
    , m_hooks(std::move(hooks))
    , m_timer(context)
{
}

membership_service::~membership_service() = default;

void membership_service::start(const member& self, const std::string& listenAddress)
{
    membership_actor_parameters parameters;
    parameters.host = &m_host;
    parameters.context = &m_context;
    parameters.store = &m_store;
    parameters.listenAddress = listenAddress;
    parameters.meshName = m_meshName;
    parameters.joinAddresses = m_joinAddresses;
    parameters.hooks = m_hooks;
    parameters.self = self;
    m_actor = m_host.system().spawn<membership_actor, caf::lazy_init>(std::move(parameters));
    tick();
}

template <typename Message>
void membership_service::sendActor(Message&& message) const
{
    if (m_actor) {
        m_host.send(m_actor, std::forward<Message>(message));
    }
}

void membership_service::setSelf(const member& self)
{
    sendActor(self_changed { self });
}

void membership_service::spreadSoon()
{
    sendActor(spread_requested {});
}

void membership_service::readSeedsSoon()
{
    sendActor(read_seeds_soon {});
}

void membership_service::callEnded(std::uint64_t memberId, bool answered)
{
    sendActor(member_call_ended { memberId, answered });
}

void membership_service::stop()
{
    m_timer.cancel();
    if (m_actor) {
        m_host.end(m_actor);
    }
}

void membership_service::dump(std::function<void(const Json::Value&)> receiver) const
{
    sendActor(state_requested { std::move(receiver) });
}

void membership_service::tick()
{
    constexpr std::chrono::milliseconds tickPeriod { 50 };
    sendActor(clock_tick {});
    m_timer.expires_after(tickPeriod);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            tick();
        }
    });
}

}
