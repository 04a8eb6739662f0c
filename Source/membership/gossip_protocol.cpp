#include "membership/gossip_protocol.h"

#include <algorithm>
#include <utility>

namespace vanillashunt {

namespace {

    constexpr std::chrono::milliseconds sweepPeriod { 5000 };
    constexpr std::chrono::milliseconds minZoneProbePeriod { 150 };
    constexpr std::chrono::milliseconds maxZoneProbePeriod { 1000 };
    // Shorter period while a zone is doubtful, to find out soon whether it is reachable.
    constexpr std::chrono::milliseconds doubtfulZoneProbePeriod { 100 };
    constexpr std::chrono::milliseconds aloneTimeout { 5000 };
    // Consecutive unanswered probes after which a member counts as unreachable.
    constexpr std::uint32_t failuresUntilUnreachable = 2;
    // Updates learned in one state exchange that are disseminated further.
    constexpr std::uint32_t maxUpdatesFromExchange = 50;

    // Returns whether the time has come, and if so sets the next one.
    bool advanceIfDue(std::chrono::steady_clock::time_point& next, std::chrono::milliseconds period, std::chrono::steady_clock::time_point now)
    {
        if (now < next) {
            return false;
        }
        next = now + period;
        return true;
    }

}

gossip_protocol::gossip_protocol(const member& self, const membership_options& options, gossip_hooks hooks, time_point now)
    : m_options(options)
    , m_hooks(std::move(hooks))
    , m_table(options, [this](std::uint64_t memberId) { memberChanged(memberId); })
    , m_exchange(m_table, exchangeHooks())
    , m_probeSchedule(m_hooks.random)
    , m_pushSchedule(options.secondPushDelay, now)
    , m_started(now)
    , m_processStarted(now - self.uptime)
    , m_now(now)
    , m_lastExchange(now - options.maxUnsettledTime)
{
    updateSelf(self, now);
    // A random offset keeps nodes that start together from probing in step.
    m_nextOwnZoneProbe = now + std::chrono::milliseconds(m_hooks.random(static_cast<std::uint64_t>(m_options.probePeriod.count())));
    m_nextOtherZoneProbe = m_nextOwnZoneProbe;
}

exchange_hooks gossip_protocol::exchangeHooks()
{
    exchange_hooks hooks;
    hooks.send = [this](const std::string& address, gossip_message message) { send(address, std::move(message), m_now); };
    hooks.merge = [this](const gossip_message& message, time_point now) { mergeUpdates(message, now); };
    return hooks;
}

// A long gap between two calls means that this process was paused. Answers missed
// meanwhile say nothing about other members, so probes and suspicions start again.
void gossip_protocol::detectPause(time_point now)
{
    auto gap = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_now);
    m_now = now;
    if (gap < m_options.pauseGap || !m_options.checksOwnHealth) {
        return;
    }
    m_health.recordPause(now);
    m_failureDetector.dropAll();
    m_suspicions.restart(m_health.scale(m_options.suspicionTime), now);
}

void gossip_protocol::receive(const gossip_message& message, time_point now)
{
    detectPause(now);
    if (m_left || message.senderId == m_table.self().id) {
        return;
    }
    const auto* sender = m_table.find(message.senderId);
    if (message.kind != gossip_kind::Entries) {
        mergeUpdates(message, now);
        sender = m_table.find(message.senderId);
    }
    if (sender && sender->whole && m_hooks.peerVersions) {
        m_hooks.peerVersions(sender->entry, message.versions);
    }
    switch (message.kind) {
    case gossip_kind::Ping:
        pingReceived(message, now);
        break;
    case gossip_kind::Ack:
        ackReceived(message, now);
        break;
    case gossip_kind::PingRequest:
        pingRequestReceived(message, now);
        break;
    case gossip_kind::PingAccepted:
        m_failureDetector.recordPingRequestAccepted(message.sequence);
        break;
    case gossip_kind::Push:
        break;
    default:
        m_exchange.receive(message, now);
        m_joining = m_joining && m_exchange.finished() == 0;
        break;
    }
    if (m_pushSchedule.isPending()) {
        push(now);
    }
}

void gossip_protocol::mergeUpdates(const gossip_message& message, time_point now)
{
    m_mergingEntries = message.kind == gossip_kind::Entries;
    for (const auto& update : message.updates) {
        if (update.entry.id == m_table.self().id) {
            handleUpdateAboutSelf(update, message.senderAddress, now);
            continue;
        }
        const auto* known = m_table.find(message.senderId);
        bool bySelf = update.entry.id == message.senderId;
        m_table.merge(update, bySelf ? "own word" : "word of " + (known && known->whole ? known->entry.name : message.senderAddress), now);
    }
    m_mergingEntries = false;
}

void gossip_protocol::handleUpdateAboutSelf(const member_update& update, const std::string& senderAddress, time_point now)
{
    const auto& self = m_table.self();
    if (update.entry.state == member_state::Left) {
        if (m_hooks.superseded) {
            m_hooks.superseded();
        }
        return;
    }
    bool accused = update.entry.state == member_state::Suspect || update.entry.state == member_state::Dead;
    bool newer = update.entry.version > self.version;
    if (accused && m_options.refutes && update.entry.version < self.version) {
        // Refuted by a higher version already, which the sender has not received.
        gossip_message refutation;
        refutation.kind = gossip_kind::Push;
        refutation.updates.push_back(m_table.makeUpdate(self.id, now));
        send(senderAddress, std::move(refutation), now);
        return;
    }
    if (!m_options.refutes || !(newer || (accused && update.entry.version == self.version))) {
        return;
    }
    if (accused) {
        m_health.worsen();
    }
    auto refuted = self;
    refuted.version = update.entry.version;
    updateSelf(refuted, now);
}

void gossip_protocol::updateSelf(member self, time_point now)
{
    ++self.version;
    self.uptime = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_processStarted);
    m_table.setSelf(self, now);
}

void gossip_protocol::setSelf(const member& changed, time_point now)
{
    auto self = m_table.self();
    if (m_left) {
        return;
    }
    if (changed.service == self.service && changed.slots == self.slots && changed.state == self.state
        && changed.operatorAddress == self.operatorAddress) {
        return;
    }
    self.service = changed.service;
    self.slots = changed.slots;
    self.state = changed.state;
    self.operatorAddress = changed.operatorAddress;
    updateSelf(self, now);
    if (self.state == member_state::Left) {
        leave(now);
        return;
    }
    push(now);
}

void gossip_protocol::leave(time_point now)
{
    m_pushSchedule.refill();
    constexpr int rounds = 3;
    for (int round = 0; round < rounds; ++round) {
        push(now);
    }
    m_left = true;
}

void gossip_protocol::spreadSoon(time_point now)
{
    push(now);
    m_pushSchedule.scheduleRepeat(now);
}

void gossip_protocol::setContacts(const std::vector<std::string>& addresses, time_point now)
{
    auto before = std::exchange(m_contacts, { addresses.begin(), addresses.end() });
    m_contacts.erase(m_table.self().address);
    for (const auto& address : m_contacts) {
        if (before.count(address) == 0) {
            m_nextContactPing = now;
        }
    }
}

void gossip_protocol::memberChanged(std::uint64_t memberId)
{
    ++m_changes;
    const auto* record = m_table.find(memberId);
    auto state = record->entry.state;
    if (state == member_state::Suspect) {
        m_suspicions.start(memberId, m_health.scale(m_options.suspicionTime), m_now);
    } else {
        m_suspicions.stop(memberId);
        m_consecutiveFailures.erase(memberId);
    }
    // Most other members know the updates of a state exchange already, so only a limited
    // number of them is disseminated further.
    if (!m_mergingEntries || ++m_updatesFromExchange <= maxUpdatesFromExchange) {
        m_updateQueue.add(memberId, transmissionsPerUpdate());
        m_pushSchedule.updateQueued(m_now);
    }
}

// Grows with the logarithm of the number of members, so that an update reaches all of
// them with high probability.
std::uint32_t gossip_protocol::transmissionsPerUpdate() const
{
    constexpr std::uint32_t minTransmissions = 3;
    std::uint32_t count = minTransmissions;
    for (auto members = m_table.liveCount(); members > 1; members /= 2) {
        ++count;
    }
    return count;
}

void gossip_protocol::pingReceived(const gossip_message& message, time_point now)
{
    gossip_message ack;
    ack.kind = gossip_kind::Ack;
    ack.sequence = message.sequence;
    ack.targetId = m_table.self().id;
    bool senderUnknown = !m_table.find(message.senderId);
    bool wrongTarget = message.targetId != m_table.self().id;
    if (senderUnknown || wrongTarget) {
        ack.updates.push_back(m_table.makeUpdate(m_table.self().id, now));
    }
    sendWithUpdates(message.senderId, message.senderAddress, std::move(ack), now);
    compareDigest(message, now);
}

void gossip_protocol::ackReceived(const gossip_message& message, time_point now)
{
    if (auto relayed = m_relayedPings.takeAnswered(message.sequence)) {
        gossip_message ack;
        ack.kind = gossip_kind::Ack;
        ack.sequence = relayed->requesterSequence;
        ack.targetId = message.targetId;
        send(relayed->requester, std::move(ack), now);
    }
    auto ended = m_failureDetector.takeAnswered(message.sequence, message.targetId);
    if (ended) {
        m_health.recordAnswer(ended->sentAt, now);
        m_health.improve();
        m_changes += m_consecutiveFailures.erase(ended->targetId);
        // An answer through a relay does not show that this node reaches the zone.
        if (message.senderId == ended->targetId) {
            m_zoneReachability.recordAnswer(ended->availabilityZone, now);
        }
    }
    compareDigest(message, now);
}

void gossip_protocol::pingRequestReceived(const gossip_message& message, time_point now)
{
    gossip_message accepted;
    accepted.kind = gossip_kind::PingAccepted;
    accepted.sequence = message.sequence;
    accepted.targetId = message.targetId;
    send(message.senderAddress, std::move(accepted), now);
    auto sequence = m_failureDetector.nextSequence();
    m_relayedPings.add(sequence, { message.senderAddress, message.sequence, now + m_options.indirectTimeout });
    gossip_message ping;
    ping.sequence = sequence;
    ping.targetId = message.targetId;
    send(message.targetAddress, std::move(ping), now);
}

// Digests differ briefly while updates spread. A state exchange starts only for a
// difference that lasts, or while this node joins.
void gossip_protocol::compareDigest(const gossip_message& message, time_point now)
{
    if (!m_options.comparesDigests || message.digest == m_table.digest()) {
        return;
    }
    bool settled = message.settled && now - m_table.lastChange() >= m_options.settleTime;
    bool overdue = now - m_lastExchange >= m_options.maxUnsettledTime;
    bool joining = m_joining && message.kind == gossip_kind::Ack;
    if (m_exchange.inProgress() || !(settled || overdue || joining)) {
        return;
    }
    m_lastExchange = now;
    m_updatesFromExchange = 0;
    m_exchange.start(message.senderAddress, now);
}

void gossip_protocol::tick(time_point now)
{
    detectPause(now);
    if (m_left) {
        return;
    }
    for (const auto& timedOut : m_failureDetector.directTimeouts(now)) {
        requestIndirectPings(timedOut, now);
    }
    for (const auto& failed : m_failureDetector.takeFailed(now)) {
        probeFailed(failed, now);
    }
    expireSuspicions(now);
    probeOwnZone(now);
    probeOtherZone(now);
    pingContacts(now);
    m_exchange.tick(now);
    if (m_pushSchedule.takeDue(now)) {
        push(now);
    }
    if (advanceIfDue(m_nextSweep, sweepPeriod, now)) {
        m_table.expireTombstones(now);
        retireUnreachable(now);
        m_relayedPings.dropExpired(now);
    }
}

std::vector<std::uint64_t> gossip_protocol::otherLiveMembers(const std::string& zone) const
{
    auto members = m_table.liveIn(zone);
    members.erase(std::remove(members.begin(), members.end(), m_table.self().id), members.end());
    return members;
}

void gossip_protocol::probeOwnZone(time_point now)
{
    if (!advanceIfDue(m_nextOwnZoneProbe, m_health.scale(m_options.probePeriod), now)) {
        return;
    }
    auto target = m_probeSchedule.next(otherLiveMembers(m_table.self().availabilityZone));
    if (target) {
        startProbe(m_table.find(*target)->entry, now);
    }
}

void gossip_protocol::probeOtherZone(time_point now)
{
    if (now < m_nextOtherZoneProbe) {
        return;
    }
    auto zone = nextOtherZone();
    auto zoneCount = std::max<std::size_t>(1, m_table.zones().size());
    auto period = std::clamp(m_options.zoneProbeInterval / static_cast<int>(zoneCount), minZoneProbePeriod, maxZoneProbePeriod);
    m_nextOtherZoneProbe = now + (m_zoneReachability.doubtful(zone) ? doubtfulZoneProbePeriod : period);
    auto targets = pickRandom(m_table.liveIn(zone), 1, m_table.self().id, m_hooks.random);
    if (!targets.empty()) {
        startProbe(m_table.find(targets.front())->entry, now);
    }
}

// Takes the zones in turn, but a doubtful zone first, so that an unreachable zone is
// detected soon.
std::string gossip_protocol::nextOtherZone()
{
    for (const auto& [zone, members] : m_table.zones()) {
        if (zone != m_table.self().availabilityZone && !members.live.empty() && m_zoneReachability.doubtful(zone)) {
            return zone;
        }
    }
    if (m_zonesToProbe.empty()) {
        for (const auto& [zone, members] : m_table.zones()) {
            if (zone != m_table.self().availabilityZone && !members.live.empty()) {
                m_zonesToProbe.push_back(zone);
            }
        }
    }
    if (m_zonesToProbe.empty()) {
        return "";
    }
    auto zone = m_zonesToProbe.back();
    m_zonesToProbe.pop_back();
    return zone;
}

void gossip_protocol::startProbe(const member& target, time_point now)
{
    gossip_message ping;
    ping.sequence = m_failureDetector.start(target.id, target.availabilityZone, now, m_health.scale(m_options.probeTimeout));
    ping.targetId = target.id;
    sendWithUpdates(target.id, target.address, std::move(ping), now);
}

void gossip_protocol::requestIndirectPings(const probe& timedOut, time_point now)
{
    const auto* target = m_table.find(timedOut.targetId);
    std::vector<std::uint64_t> relays;
    if (target && mayDeclareDead(target->entry)) {
        const auto& ownZone = m_table.self().availabilityZone;
        auto ownZoneMembers = otherLiveMembers(ownZone);
        ownZoneMembers.erase(std::remove_if(ownZoneMembers.begin(), ownZoneMembers.end(), [this](std::uint64_t id) { return m_consecutiveFailures.count(id) > 0; }), ownZoneMembers.end());
        relays = pickRandom(ownZoneMembers, m_options.relayCount - 1, timedOut.targetId, m_hooks.random);
        std::vector<std::uint64_t> otherZoneMembers;
        for (const auto& [zone, members] : m_table.zones()) {
            if (zone != ownZone && m_zoneReachability.reachable(zone)) {
                otherZoneMembers.insert(otherZoneMembers.end(), members.live.begin(), members.live.end());
            }
        }
        for (auto relay : pickRandom(otherZoneMembers, m_options.relayCount - relays.size(), timedOut.targetId, m_hooks.random)) {
            relays.push_back(relay);
        }
    }
    auto deadline = relays.empty() ? now : now + m_health.scale(m_options.indirectTimeout);
    m_failureDetector.recordPingRequestsSent(timedOut.sequence, relays.size(), deadline);
    for (auto relay : relays) {
        gossip_message request;
        request.kind = gossip_kind::PingRequest;
        request.sequence = timedOut.sequence;
        request.targetId = timedOut.targetId;
        request.targetAddress = target->entry.address;
        send(m_table.find(relay)->entry.address, std::move(request), now);
    }
}

bool gossip_protocol::mayDeclareDead(const member& entry) const
{
    if (entry.availabilityZone == m_table.self().availabilityZone || !m_options.separatesZoneReachability) {
        return true;
    }
    return m_zoneReachability.reachable(entry.availabilityZone) && m_table.liveIn(entry.availabilityZone).size() < m_options.smallZoneSize;
}

void gossip_protocol::probeFailed(const probe& failed, time_point now)
{
    const auto* target = m_table.find(failed.targetId);
    if (!target || !isLive(target->entry.state)) {
        return;
    }
    const auto& zone = target->entry.availabilityZone;
    bool ownZone = zone == m_table.self().availabilityZone;
    if (!ownZone) {
        m_zoneReachability.recordFailure(zone, failed.targetId, m_table.liveIn(zone).size(), now);
    }
    if (!mayDeclareDead(target->entry)) {
        return;
    }
    m_changes += ++m_consecutiveFailures[failed.targetId] == failuresUntilUnreachable ? 1 : 0;
    // No relay has confirmed a ping request, so the fault is more likely at this node.
    if (failed.pingRequestsAccepted == 0 && m_options.checksOwnHealth) {
        if (failed.pingRequestsSent > 0) {
            m_health.worsen();
        }
        m_probeSchedule.probeAgain(failed.targetId);
        return;
    }
    // The only live member of a zone may be silent because the zone is unreachable.
    bool zoneMayBeUnreachable = !ownZone && m_zoneReachability.doubtful(zone) && m_table.liveIn(zone).size() < 2;
    if (m_options.separatesZoneReachability && zoneMayBeUnreachable) {
        return;
    }
    m_suspicionsRaised += target->entry.state == member_state::Suspect ? 0 : 1;
    m_table.declareState(failed.targetId, member_state::Suspect, "did not answer a probe", now);
}

void gossip_protocol::expireSuspicions(time_point now)
{
    for (const auto& suspicion : m_suspicions.expired(now)) {
        const auto* record = m_table.find(suspicion.memberId);
        if (!record || record->entry.state != member_state::Suspect) {
            m_suspicions.stop(suspicion.memberId);
            continue;
        }
        // An answer to a probe sent after the suspicion began shows that a refutation
        // would have reached this node.
        bool couldReceiveRefutation = m_health.trusted() && m_health.probeAnsweredSince(suspicion.since);
        if (!mayDeclareDead(record->entry) || (m_options.checksOwnHealth && !couldReceiveRefutation)) {
            continue;
        }
        const auto& zone = record->entry.availabilityZone;
        if (m_options.separatesZoneReachability && zone != m_table.self().availabilityZone && m_zoneReachability.doubtful(zone)) {
            continue;
        }
        ++m_deathsDeclared;
        m_table.declareState(suspicion.memberId, member_state::Dead, "did not refute a suspicion", now);
    }
}

// Members of a zone that has been unreachable for this long are not expected to return.
void gossip_protocol::retireUnreachable(time_point now)
{
    for (const auto& [zone, members] : m_table.zones()) {
        if (m_zoneReachability.unreachableFor(zone, now) < m_options.unreachableLimit) {
            continue;
        }
        const auto unreachableMembers = members.live;
        for (auto memberId : unreachableMembers) {
            m_table.declareState(memberId, member_state::Dead, "zone unreachable for too long", now);
        }
    }
}

bool gossip_protocol::alone(time_point now) const
{
    if (m_table.liveCount() < 2) {
        return true;
    }
    return now - m_started >= aloneTimeout && !m_health.probeAnsweredSince(now - aloneTimeout);
}

void gossip_protocol::pingContacts(time_point now)
{
    if (!advanceIfDue(m_nextContactPing, alone(now) ? m_options.joinPeriod : m_options.rejoinPeriod, now)) {
        return;
    }
    std::vector<std::string> contacts;
    for (const auto& contact : m_contacts) {
        if (alone(now) || !m_table.hasLiveAddress(contact)) {
            contacts.push_back(contact);
        }
    }
    constexpr std::size_t contactsPerRound = 3;
    for (std::size_t i = 0; i < contactsPerRound && !contacts.empty(); ++i) {
        auto chosen = contacts.begin() + static_cast<std::ptrdiff_t>(m_hooks.random(contacts.size()));
        gossip_message ping;
        ping.updates.push_back(m_table.makeUpdate(m_table.self().id, now));
        send(*chosen, std::move(ping), now);
        contacts.erase(chosen);
    }
}

std::vector<std::uint64_t> gossip_protocol::pushTargets() const
{
    const auto& ownZone = m_table.self().availabilityZone;
    std::vector<std::string> otherZones;
    for (const auto& [zone, members] : m_table.zones()) {
        if (zone != ownZone && !members.live.empty() && m_zoneReachability.reachable(zone)) {
            otherZones.push_back(zone);
        }
    }
    auto ownZoneCount = otherZones.empty() ? m_options.fanOut : m_options.fanOut - 1;
    auto targets = pickRandom(m_table.liveIn(ownZone), ownZoneCount, m_table.self().id, m_hooks.random);
    while (!otherZones.empty() && targets.size() < m_options.fanOut) {
        auto chosen = otherZones.begin() + static_cast<std::ptrdiff_t>(m_hooks.random(otherZones.size()));
        auto otherZoneMembers = pickRandom(m_table.liveIn(*chosen), 1, 0, m_hooks.random);
        targets.insert(targets.end(), otherZoneMembers.begin(), otherZoneMembers.end());
        otherZones.erase(chosen);
    }
    return targets;
}

void gossip_protocol::push(time_point now)
{
    if (!m_pushSchedule.takeToken(now)) {
        return;
    }
    gossip_message message;
    message.kind = gossip_kind::Push;
    appendUpdates(message, now);
    for (auto target : pushTargets()) {
        send(m_table.find(target)->entry.address, message, now);
    }
}

void gossip_protocol::sendWithUpdates(std::uint64_t memberId, const std::string& address, gossip_message message, time_point now)
{
    const auto* receiver = m_table.find(memberId);
    // Tells a receiver that counts as suspect or gone its state, so that it can refute.
    if (receiver && receiver->entry.state != member_state::Alive && receiver->entry.state != member_state::Draining) {
        message.updates.push_back(m_table.makeUpdate(memberId, now));
    }
    appendUpdates(message, now);
    send(address, std::move(message), now);
}

void gossip_protocol::appendUpdates(gossip_message& message, time_point now)
{
    std::size_t used = 0;
    for (const auto& update : message.updates) {
        used += wireBytes(update);
    }
    // An update that exceeds the limit is sent alone in a longer datagram.
    auto sizeOf = [&](std::uint64_t id) {
        return m_table.find(id) ? std::min(wireBytes(m_table.makeUpdate(id, now)), updateBytesPerDatagram) : 0;
    };
    for (auto memberId : m_updateQueue.take(updateBytesPerDatagram - std::min(used, updateBytesPerDatagram), sizeOf)) {
        if (m_table.find(memberId)) {
            message.updates.push_back(m_table.makeUpdate(memberId, now));
        }
    }
}

void gossip_protocol::send(const std::string& address, gossip_message message, time_point now)
{
    message.senderId = m_table.self().id;
    message.senderAddress = m_table.self().address;
    if (m_hooks.ownVersions) {
        message.versions = m_hooks.ownVersions();
    }
    message.digest = m_table.digest();
    message.settled = now - m_table.lastChange() >= m_options.settleTime;
    m_hooks.send(address, message);
}

void gossip_protocol::callEnded(std::uint64_t memberId, bool answered, time_point now)
{
    const auto* target = m_table.find(memberId);
    if (!target || !target->whole || target->entry.availabilityZone == m_table.self().availabilityZone) {
        return;
    }
    const auto& zone = target->entry.availabilityZone;
    if (answered) {
        m_zoneReachability.recordAnswer(zone, now);
        return;
    }
    m_zoneReachability.recordFailure(zone, memberId, m_table.liveIn(zone).size(), now);
}

bool gossip_protocol::reachable(const member& entry) const
{
    if (entry.id == m_table.self().id) {
        return true;
    }
    auto failures = m_consecutiveFailures.find(entry.id);
    bool answers = failures == m_consecutiveFailures.end() || failures->second < failuresUntilUnreachable;
    return answers && m_zoneReachability.reachable(entry.availabilityZone);
}

member_list gossip_protocol::snapshot() const
{
    auto members = std::make_shared<std::vector<member>>();
    members->reserve(m_table.liveCount());
    for (const auto& [zone, zoneMembers] : m_table.zones()) {
        for (auto memberId : zoneMembers.live) {
            members->push_back(m_table.find(memberId)->entry);
            members->back().reachable = reachable(members->back());
        }
    }
    return members;
}

}
