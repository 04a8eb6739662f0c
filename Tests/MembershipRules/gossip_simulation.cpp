#include "MembershipRules/gossip_simulation.h"

#include "peer/gossip_codec.h"

#include <utility>

namespace vanillashunt {

gossip_simulation::gossip_simulation(unsigned seed, const membership_options& options)
    : m_options(options)
    , m_random(seed)
{
}

std::string gossip_simulation::add(const std::string& name, const std::string& zone)
{
    member self;
    self.id = m_random();
    self.name = name;
    self.availabilityZone = zone;
    self.region = "klang";
    self.address = "192.0.2.1:" + std::to_string(++m_lastPort);
    self.operatorAddress = self.address;
    self.service = "threads";
    gossip_hooks hooks;
    hooks.random = [this](std::uint64_t bound) { return m_random() % bound; };
    hooks.send = [this, name](const std::string& address, const gossip_message& message) { deliver(name, address, message); };
    m_idByName[name] = self.id;
    m_nameByAddress[self.address] = name;
    auto& added = m_nodes[name] = node {};
    added.address = self.address;
    added.protocol = std::make_unique<gossip_protocol>(self, m_options, hooks, m_now);
    m_firstAddress = m_firstAddress.empty() ? self.address : m_firstAddress;
    added.protocol->setContacts({ m_firstAddress }, m_now);
    tick(name, self.id);
    return name;
}

void gossip_simulation::fill(int nodesPerZone)
{
    for (int i = 0; i < nodesPerZone; ++i) {
        for (const std::string zone : { "cyberjaya", "shah-alam", "bangsar" }) {
            add(zone + "-" + std::to_string(i), zone);
        }
    }
    runUntil([this] { return converged(); }, std::chrono::minutes(2));
}

void gossip_simulation::kill(const std::string& name)
{
    m_nodes.erase(name);
}

void gossip_simulation::pause(const std::string& name)
{
    at(name).paused = true;
}

void gossip_simulation::resume(const std::string& name)
{
    auto& resumed = at(name);
    resumed.paused = false;
    tick(name, m_idByName.at(name));
    for (const auto& message : std::exchange(resumed.backlog, {})) {
        resumed.protocol->receive(message, m_now);
        recordFalseDeaths(name);
    }
}

void gossip_simulation::schedule(milliseconds delay, std::function<void()> run)
{
    m_events.push({ m_now + delay, ++m_lastOrder, std::move(run) });
}

void gossip_simulation::tick(const std::string& name, std::uint64_t id)
{
    constexpr milliseconds tickPeriod { 50 };
    auto found = m_nodes.find(name);
    if (found == m_nodes.end() || m_idByName.at(name) != id || found->second.paused) {
        return;
    }
    found->second.protocol->tick(m_now);
    recordFalseDeaths(name);
    schedule(tickPeriod, [this, name, id] { tick(name, id); });
}

void gossip_simulation::deliver(const std::string& from, const std::string& address, const gossip_message& message)
{
    auto encoded = encodeGossip(message);
    ++datagrams;
    bytes += encoded.size();
    auto name = m_nameByAddress.find(address);
    if (name == m_nameByAddress.end() || std::generate_canonical<double, 32>(m_random) < lossRate || crossesPartition(from, name->second)) {
        return;
    }
    auto delay = milliseconds(1 + m_random() % static_cast<std::uint64_t>(maxDelay.count()));
    schedule(delay, [this, to = name->second, address, encoded] {
        auto found = m_nodes.find(to);
        if (found == m_nodes.end() || found->second.address != address || found->second.receivesNothing) {
            return;
        }
        auto decoded = *decodeGossip(encoded.data(), encoded.size());
        if (found->second.paused) {
            found->second.backlog.push_back(decoded);
            return;
        }
        found->second.protocol->receive(decoded, m_now);
        recordFalseDeaths(to);
    });
}

bool gossip_simulation::crossesPartition(const std::string& from, const std::string& to)
{
    if (partitionedZone.empty() || m_nodes.count(from) == 0 || m_nodes.count(to) == 0) {
        return false;
    }
    bool fromInside = protocol(from).table().self().availabilityZone == partitionedZone;
    bool toInside = protocol(to).table().self().availabilityZone == partitionedZone;
    return fromInside != toInside;
}

void gossip_simulation::recordFalseDeaths(const std::string& name)
{
    for (const auto& [id, record] : protocol(name).table().records()) {
        if (record.entry.state == member_state::Dead && m_nodes.count(record.entry.name) > 0 && m_idByName.at(record.entry.name) == id) {
            falselyDead.insert(record.entry.name);
        }
    }
}

void gossip_simulation::run(milliseconds time)
{
    runUntil([] { return false; }, time);
}

bool gossip_simulation::runUntil(const std::function<bool()>& condition, milliseconds time)
{
    auto end = m_now + time;
    constexpr milliseconds checkPeriod { 50 };
    auto nextCheck = m_now;
    while (!m_events.empty() && m_events.top().at <= end) {
        auto next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.run();
        if (m_now < nextCheck) {
            continue;
        }
        nextCheck = m_now + checkPeriod;
        if (condition()) {
            return true;
        }
    }
    m_now = end;
    return condition();
}

std::vector<std::string> gossip_simulation::names() const
{
    std::vector<std::string> all;
    for (const auto& [name, node] : m_nodes) {
        all.push_back(name);
    }
    return all;
}

bool gossip_simulation::converged()
{
    for (auto& [name, node] : m_nodes) {
        auto seen = node.protocol->snapshot();
        if (seen->size() != m_nodes.size()) {
            return false;
        }
        for (const auto& entry : *seen) {
            if (m_nodes.count(entry.name) == 0 || m_idByName.at(entry.name) != entry.id || entry.state != member_state::Alive || !entry.reachable) {
                return false;
            }
        }
    }
    return true;
}

bool gossip_simulation::allSee(const std::string& name, member_state state, const std::set<std::string>& except)
{
    for (auto& [observer, node] : m_nodes) {
        const auto* record = node.protocol->table().find(m_idByName.at(name));
        if (observer != name && except.count(observer) == 0 && (!record || record->entry.state != state)) {
            return false;
        }
    }
    return true;
}

bool gossip_simulation::anySeesLive(std::uint64_t memberId)
{
    for (auto& [name, node] : m_nodes) {
        const auto* record = node.protocol->table().find(memberId);
        if (record && isLive(record->entry.state)) {
            return true;
        }
    }
    return false;
}

}
