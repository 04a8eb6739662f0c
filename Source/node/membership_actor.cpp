#include "node/membership_actor.h"

#include "decision/rendezvous.h"
#include "events/event_catalogue.h"
#include "node/membership_dump.h"
#include "node/membership_messages.h"
#include "store/seed_directory.h"

namespace vanillashunt {

namespace {

    // Minimum time between two snapshots. Each membersPerMillisecond members add one
    // millisecond, since a snapshot of more members takes longer to make.
    constexpr std::chrono::milliseconds publishPeriod { 20 };
    constexpr std::size_t membersPerMillisecond = 15;

    std::chrono::steady_clock::time_point currentTime()
    {
        return std::chrono::steady_clock::now();
    }

}

membership_actor::membership_actor(caf::actor_config& config, membership_actor_parameters parameters)
    : caf::event_based_actor(config)
    , m_parameters(std::move(parameters))
    , m_random(std::random_device {}())
    , m_socket(*m_parameters.context, m_parameters.listenAddress, m_parameters.meshName, [this](gossip_message message) {
        m_parameters.host->send(caf::actor_cast<caf::actor>(this), gossip_arrived { std::move(message) });
    })
    , m_protocol(m_parameters.self, membership_options {}, gossipHooks(), currentTime())
    , m_seedKeeper(*m_parameters.store, m_parameters.self.availabilityZone, m_parameters.self.address, seedHooks())
{
    m_protocol.setContacts(m_parameters.joinAddresses, currentTime());
}

gossip_hooks membership_actor::gossipHooks()
{
    gossip_hooks hooks;
    hooks.send = [this](const std::string& address, const gossip_message& message) { m_socket.send(address, message); };
    hooks.random = [this](std::uint64_t bound) { return m_random() % bound; };
    hooks.ownVersions = m_parameters.hooks.ownVersions;
    hooks.peerVersions = m_parameters.hooks.peerVersions;
    hooks.superseded = [this] { superseded(); };
    return hooks;
}

seed_keeper_hooks membership_actor::seedHooks()
{
    seed_keeper_hooks hooks;
    hooks.seedsRead = [this](std::vector<std::string> addresses) {
        m_parameters.host->send(caf::actor_cast<caf::actor>(this), seeds_read { std::move(addresses) });
    };
    hooks.random = [this](std::uint64_t bound) { return m_random() % bound; };
    hooks.now = currentTime;
    return hooks;
}

caf::behavior membership_actor::make_behavior()
{
    return {
        [this](const gossip_arrived& message) {
            auto now = currentTime();
            m_protocol.receive(message.message, now);
            publish(now);
        },
        [this](const clock_tick&) { tick(); },
        [this](const seeds_read& message) { seedsRead(message.addresses); },
        [this](const self_changed& message) {
            m_protocol.setSelf(message.self, currentTime());
            publish(currentTime());
        },
        [this](const read_seeds_soon&) { m_seedKeeper.readSoon(currentTime()); },
        [this](const spread_requested&) { m_protocol.spreadSoon(currentTime()); },
        [this](const member_call_ended& message) {
            m_protocol.callEnded(message.memberId, message.answered, currentTime());
            publish(currentTime());
        },
        [this](const state_requested& message) { message.receiver(dump()); },
    };
}

void membership_actor::seedsRead(const std::vector<std::string>& addresses)
{
    auto contacts = m_parameters.joinAddresses;
    contacts.insert(contacts.end(), addresses.begin(), addresses.end());
    m_protocol.setContacts(contacts, currentTime());
}

seed_duty membership_actor::seedDuty(std::chrono::steady_clock::time_point now) const
{
    const auto& self = m_protocol.table().self();
    seed_duty duty;
    duty.alone = m_protocol.alone(now);
    if (self.state == member_state::Alive) {
        duty.number = rendezvousRank(self.id, m_protocol.table().liveIn(self.availabilityZone), seedsPerZone);
    }
    return duty;
}

void membership_actor::tick()
{
    auto now = currentTime();
    m_protocol.tick(now);
    m_seedKeeper.tick(seedDuty(now), now);
    publish(now);
}

void membership_actor::publish(std::chrono::steady_clock::time_point now)
{
    auto period = publishPeriod + std::chrono::milliseconds(m_protocol.table().liveCount() / membersPerMillisecond);
    if (m_protocol.changes() == m_publishedChanges || now - m_lastPublished < period) {
        return;
    }
    m_publishedChanges = m_protocol.changes();
    m_lastPublished = now;
    m_parameters.hooks.membersChanged(m_protocol.snapshot());
}

void membership_actor::superseded()
{
    if (!std::exchange(m_superseded, true)) {
        logEvent(events::nameTakenOver, { { "name", m_parameters.self.name }, { "address", m_parameters.self.address } });
    }
}

Json::Value membership_actor::dump() const
{
    return dumpMembership(m_protocol, m_socket.counts(), m_seedKeeper.counts(), currentTime());
}

}
