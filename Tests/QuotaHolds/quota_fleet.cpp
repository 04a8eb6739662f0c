#include "QuotaHolds/quota_fleet.h"

#include "Harness/most_in_window.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds stepLength { 10 };
    constexpr milliseconds longestHold { 200 };
    constexpr milliseconds longestHoldAtStart { 750 };

}

quota_fleet::quota_fleet(const plan& fleetPlan)
    : m_plan(fleetPlan)
    , m_random(fleetPlan.seed)
{
    m_configuration.version = 1;
    m_nodes.resize(m_plan.zones * m_plan.nodesPerZone);
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        start(node);
    }
}

void quota_fleet::setQuota(const std::string& organisation, organisation_quota quota)
{
    auto& organisations = m_configuration.organisations;
    auto found = std::find_if(organisations.begin(), organisations.end(), [&organisation](const auto& configured) { return configured.name == organisation; });
    if (found == organisations.end()) {
        found = organisations.insert(organisations.end(), { organisation, {}, std::nullopt, {} });
    }
    found->quota = quota;
    for (auto& fleetNode : m_nodes) {
        if (fleetNode.exchange) {
            fleetNode.exchange->setConfiguration(m_configuration, m_now);
        }
    }
}

void quota_fleet::kill(std::size_t node)
{
    m_nodes[node].exchange.reset();
}

void quota_fleet::start(std::size_t node)
{
    auto& fleetNode = m_nodes[node];
    fleetNode.entry.id = m_random() | 1U;
    fleetNode.entry.name = "node-" + std::to_string(node);
    fleetNode.entry.availabilityZone = "zone-" + std::to_string(zoneOf(node));
    fleetNode.frozen = false;
    m_index[fleetNode.entry.id] = node;
    quota_settings settings { fleetNode.entry.id, fleetNode.entry.availabilityZone, m_plan.configuredZones == 0 ? m_plan.zones : m_plan.configuredZones, m_plan.tolerance };
    quota_hooks hooks;
    hooks.send = [this, id = fleetNode.entry.id](const member& target, const quota_message& message) { transmit(id, target.id, message); };
    hooks.chance = [this](std::uint64_t bound) { return m_random() % bound; };
    fleetNode.exchange = std::make_unique<quota_exchange>(settings, hooks, m_now);
    fleetNode.exchange->setConfiguration(m_configuration, m_now);
}

void quota_fleet::setFrozen(std::size_t node, bool frozen)
{
    m_nodes[node].frozen = frozen;
}

bool quota_fleet::reaches(std::size_t from, std::size_t to) const
{
    auto groupOf = [this](std::size_t node) {
        auto found = m_groups.find(node);
        return found == m_groups.end() ? 0 : found->second;
    };
    return groupOf(from) == groupOf(to);
}

void quota_fleet::updateViews(bool ignorePartitions)
{
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        std::set<std::size_t> visible;
        for (std::size_t other = 0; other < m_nodes.size(); ++other) {
            if (isRunning(other) && (ignorePartitions || reaches(node, other))) {
                visible.insert(other);
            }
        }
        setView(node, visible);
    }
}

void quota_fleet::setView(std::size_t node, const std::set<std::size_t>& view)
{
    if (!isRunning(node)) {
        return;
    }
    auto members = std::make_shared<std::vector<member>>();
    members->push_back(m_nodes[node].entry);
    for (auto other : view) {
        if (other != node) {
            members->push_back(m_nodes[other].entry);
        }
    }
    m_nodes[node].exchange->setMembers(members, m_now);
}

std::size_t quota_fleet::indexOf(std::uint64_t memberId) const
{
    auto found = m_index.find(memberId);
    bool isCurrent = found != m_index.end() && m_nodes[found->second].entry.id == memberId;
    return isCurrent ? found->second : m_nodes.size();
}

void quota_fleet::transmit(std::uint64_t from, std::uint64_t to, const quota_message& message)
{
    ++m_messages;
    auto sender = indexOf(from);
    auto target = indexOf(to);
    if (sender == m_nodes.size() || target == m_nodes.size() || !reaches(sender, target) || chance() < m_plan.messageLoss) {
        return;
    }
    bool isSameZone = zoneOf(sender) == zoneOf(target);
    auto latency = std::chrono::microseconds((isSameZone ? 300 : 900) + m_random() % 400);
    m_inFlight.push({ m_now + latency, from, to, message });
}

void quota_fleet::deliver()
{
    while (!m_inFlight.empty() && m_inFlight.top().arrives <= m_now) {
        auto next = m_inFlight.top();
        m_inFlight.pop();
        auto target = indexOf(next.to);
        if (target == m_nodes.size() || !isRunning(target)) {
            continue;
        }
        if (m_nodes[target].frozen) {
            // The message stays in the socket's buffer until the process resumes.
            next.arrives = m_now + stepLength;
            m_inFlight.push(next);
            continue;
        }
        if (auto answer = m_nodes[target].exchange->receive(next.message, m_now)) {
            transmit(next.to, next.from, *answer);
        }
    }
}

void quota_fleet::generateDemand(const quota_demand& demand)
{
    auto& fleetNode = m_nodes[demand.node];
    std::poisson_distribution<int> arrivals(demand.rate * std::chrono::duration<double>(stepLength).count());
    auto count = arrivals(m_random);
    for (int i = 0; i < count && fleetNode.exchange && !fleetNode.frozen; ++i) {
        m_asked[demand.organisation].push_back(m_now);
        quota_request request { demand.organisation, static_cast<shedding_position>(m_random() % sheddingPositionCount), m_now + longestHold, m_now + longestHoldAtStart };
        fleetNode.exchange->take(
            request, [this, organisation = demand.organisation](quota_refusal refusal, time_point admittedAt) {
                if (!refusal) {
                    m_admitted[organisation].push_back(admittedAt);
                }
            },
            m_now);
    }
}

void quota_fleet::step()
{
    constexpr int deliveriesPerStep = 10;
    for (int delivery = 0; delivery < deliveriesPerStep; ++delivery) {
        m_now += stepLength / deliveriesPerStep;
        deliver();
    }
    for (const auto& demand : m_demand) {
        generateDemand(demand);
    }
    for (auto& fleetNode : m_nodes) {
        if (fleetNode.exchange && !fleetNode.frozen) {
            fleetNode.exchange->tick(m_now);
        }
    }
}

void quota_fleet::run(milliseconds time)
{
    for (auto end = m_now + time; m_now < end;) {
        step();
    }
}

std::size_t quota_fleet::admittedSince(const std::string& organisation, time_point since)
{
    const auto& times = admitted(organisation);
    return static_cast<std::size_t>(times.end() - std::lower_bound(times.begin(), times.end(), since));
}

std::size_t quota_fleet::maxAdmittedIn(const std::string& organisation, milliseconds window)
{
    return mostInWindow(admitted(organisation), window);
}

std::size_t quota_fleet::asked(const std::string& organisation) const
{
    auto found = m_asked.find(organisation);
    return found == m_asked.end() ? 0 : found->second.size();
}

std::size_t quota_fleet::idealAdmissions(const std::string& organisation, organisation_quota quota) const
{
    double tokens = quota.burst;
    std::size_t count = 0;
    std::optional<time_point> last;
    for (auto time : m_asked.at(organisation)) {
        auto passed = std::chrono::duration<double>(time - last.value_or(time)).count();
        tokens = std::min(quota.burst, tokens + passed * quota.ratePerSecond);
        last = time;
        if (tokens >= 1) {
            tokens -= 1;
            ++count;
        }
    }
    return count;
}

}
