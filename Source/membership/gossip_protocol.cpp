#include "membership/gossip_protocol.h"

#include <algorithm>
#include <utility>

namespace vanillashunt {

namespace {

    constexpr std::chrono::milliseconds sweepPeriod { 5000 };
    constexpr std::chrono::milliseconds fastestZoneProbe { 150 };
    constexpr std::chrono::milliseconds slowestZoneProbe { 1000 };
    // A doubtful zone is probed again this soon.
    constexpr std::chrono::milliseconds zoneProbeAgain { 100 };
    constexpr std::chrono::milliseconds aloneAfter { 5000 };
    // Probes in a row after which a member counts as not reachable from here.
    constexpr std::uint32_t unreachableAfter = 2;
    // Entries learnt in one exchange that are pushed on.
    constexpr std::uint32_t mostNewsOfExchange = 50;

    bool due(std::chrono::steady_clock::time_point& next, std::chrono::milliseconds period, std::chrono::steady_clock::time_point now)
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
    , m_schedule(m_hooks.random)
    , m_pushes(options.secondPush, now)
    , m_started(now)
    , m_selfStarted(now - self.uptime)
    , m_now(now)
    , m_lastExchange(now - options.longestUnsettled)
{
    updateSelf(self, now);
    // Nodes that start together do not probe in step.
    m_nextOwnProbe = now + std::chrono::milliseconds(m_hooks.random(static_cast<std::uint64_t>(m_options.probePeriod.count())));
    m_nextZoneProbe = m_nextOwnProbe;
}

exchange_hooks gossip_protocol::exchangeHooks()
{
    exchange_hooks hooks;
    hooks.send = [this](const std::string& address, gossip_message message) { send(address, std::move(message), m_now); };
    hooks.merge = [this](const gossip_message& message, time_point now) { mergeUpdates(message, now); };
    return hooks;
}

// A gap between two looks at the clock means that this node did not run; what it
// missed meanwhile says nothing about others.
void gossip_protocol::noteTime(time_point now)
{
    auto gap = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_now);
    m_now = now;
    if (gap < m_options.pauseGap || !m_options.doubtsItself) {
        return;
    }
    m_health.paused(now);
    m_probes.dropAll();
    m_suspicions.restart(m_health.stretch(m_options.suspicionTime), now);
}

void gossip_protocol::receive(const gossip_message& message, time_point now)
{
    noteTime(now);
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
        m_probes.helperHeard(message.sequence);
        break;
    case gossip_kind::Push:
        break;
    default:
        m_exchange.receive(message, now);
        m_joining = m_joining && m_exchange.finished() == 0;
        break;
    }
    if (m_pushes.isSoon()) {
        push(now);
    }
}

void gossip_protocol::mergeUpdates(const gossip_message& message, time_point now)
{
    m_merging = message.kind == gossip_kind::Entries;
    for (const auto& update : message.updates) {
        if (update.entry.id == m_table.self().id) {
            heardOfSelf(update, message.senderAddress, now);
            continue;
        }
        const auto* known = m_table.find(message.senderId);
        bool bySelf = update.entry.id == message.senderId;
        m_table.merge(update, bySelf ? "own word" : "word of " + (known && known->whole ? known->entry.name : message.senderAddress), now);
    }
    m_merging = false;
}

void gossip_protocol::heardOfSelf(const member_update& update, const std::string& senderAddress, time_point now)
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
        // Refuted before, but the sender has missed it.
        gossip_message word;
        word.kind = gossip_kind::Push;
        word.updates.push_back(m_table.updateOf(self.id, now));
        send(senderAddress, std::move(word), now);
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
    self.uptime = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_selfStarted);
    m_table.setSelf(self, now);
}

void gossip_protocol::setSelf(const member& wanted, time_point now)
{
    auto self = m_table.self();
    if (m_left) {
        return;
    }
    if (wanted.service == self.service && wanted.slots == self.slots && wanted.state == self.state
        && wanted.operatorAddress == self.operatorAddress) {
        return;
    }
    self.service = wanted.service;
    self.slots = wanted.slots;
    self.state = wanted.state;
    self.operatorAddress = wanted.operatorAddress;
    updateSelf(self, now);
    if (self.state == member_state::Left) {
        leave(now);
        return;
    }
    push(now);
}

void gossip_protocol::leave(time_point now)
{
    m_pushes.refill();
    constexpr int rounds = 3;
    for (int round = 0; round < rounds; ++round) {
        push(now);
    }
    m_left = true;
}

void gossip_protocol::spreadSoon(time_point now)
{
    push(now);
    m_pushes.repeatLater(now);
}

void gossip_protocol::setContacts(const std::vector<std::string>& addresses, time_point now)
{
    auto before = std::exchange(m_contacts, { addresses.begin(), addresses.end() });
    m_contacts.erase(m_table.self().address);
    for (const auto& address : m_contacts) {
        if (before.count(address) == 0) {
            m_nextGreeting = now;
        }
    }
}

void gossip_protocol::memberChanged(std::uint64_t memberId)
{
    ++m_changes;
    const auto* record = m_table.find(memberId);
    auto state = record->entry.state;
    if (state == member_state::Suspect) {
        m_suspicions.start(memberId, m_health.stretch(m_options.suspicionTime), m_now);
    } else {
        m_suspicions.stop(memberId);
        m_unanswered.erase(memberId);
    }
    // What an exchange brings is old to most others; only little of it is passed on.
    if (!m_merging || ++m_newsOfExchange <= mostNewsOfExchange) {
        m_news.add(memberId, transmissions());
        m_pushes.newsCame(m_now);
    }
}

// Enough for news to reach everyone with high probability: grows with the logarithm.
std::uint32_t gossip_protocol::transmissions() const
{
    constexpr std::uint32_t least = 3;
    std::uint32_t count = least;
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
    bool stranger = !m_table.find(message.senderId);
    bool mistaken = message.targetId != m_table.self().id;
    if (stranger || mistaken) {
        ack.updates.push_back(m_table.updateOf(m_table.self().id, now));
    }
    sendNews(message.senderId, message.senderAddress, std::move(ack), now);
    compareDigest(message, now);
}

void gossip_protocol::ackReceived(const gossip_message& message, time_point now)
{
    if (auto relayed = m_relayed.takeAnswered(message.sequence)) {
        gossip_message ack;
        ack.kind = gossip_kind::Ack;
        ack.sequence = relayed->requesterSequence;
        ack.targetId = message.targetId;
        send(relayed->requester, std::move(ack), now);
    }
    auto ended = m_probes.answered(message.sequence, message.targetId);
    if (ended) {
        m_health.answered(ended->sentAt, now);
        m_health.improve();
        m_changes += m_unanswered.erase(ended->targetId);
        // An answer by way of others does not show that this node reaches the zone.
        if (message.senderId == ended->targetId) {
            m_zones.answered(ended->availabilityZone, now);
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
    auto sequence = m_probes.takeSequence();
    m_relayed.add(sequence, { message.senderAddress, message.sequence, now + m_options.indirectTimeout });
    gossip_message ping;
    ping.sequence = sequence;
    ping.targetId = message.targetId;
    send(message.targetAddress, std::move(ping), now);
}

// News under way makes digests differ for a moment; only a difference that stays is repaired.
void gossip_protocol::compareDigest(const gossip_message& message, time_point now)
{
    if (!m_options.comparesDigests || message.digest == m_table.digest()) {
        return;
    }
    bool settled = message.settled && now - m_table.lastChange() >= m_options.settleTime;
    bool overdue = now - m_lastExchange >= m_options.longestUnsettled;
    bool newcomer = m_joining && message.kind == gossip_kind::Ack;
    if (m_exchange.inProgress() || !(settled || overdue || newcomer)) {
        return;
    }
    m_lastExchange = now;
    m_newsOfExchange = 0;
    m_exchange.start(message.senderAddress, now);
}

void gossip_protocol::tick(time_point now)
{
    noteTime(now);
    if (m_left) {
        return;
    }
    for (const auto& unanswered : m_probes.directlyUnanswered(now)) {
        askHelpers(unanswered, now);
    }
    for (const auto& failed : m_probes.takeFailed(now)) {
        probeFailed(failed, now);
    }
    expireSuspicions(now);
    probeOwnZone(now);
    probeOtherZone(now);
    greetContacts(now);
    m_exchange.tick(now);
    if (m_pushes.takeDue(now)) {
        push(now);
    }
    if (due(m_nextSweep, sweepPeriod, now)) {
        m_table.forgetTombstones(now);
        retireUnreachable(now);
        m_relayed.forget(now);
    }
}

std::vector<std::uint64_t> gossip_protocol::otherLive(const std::string& zone) const
{
    auto members = m_table.liveIn(zone);
    members.erase(std::remove(members.begin(), members.end(), m_table.self().id), members.end());
    return members;
}

void gossip_protocol::probeOwnZone(time_point now)
{
    if (!due(m_nextOwnProbe, m_health.stretch(m_options.probePeriod), now)) {
        return;
    }
    auto target = m_schedule.next(otherLive(m_table.self().availabilityZone));
    if (target) {
        startProbe(m_table.find(*target)->entry, now);
    }
}

void gossip_protocol::probeOtherZone(time_point now)
{
    if (now < m_nextZoneProbe) {
        return;
    }
    auto zone = nextOtherZone();
    auto zoneCount = std::max<std::size_t>(1, m_table.zones().size());
    auto period = std::clamp(m_options.zoneRound / static_cast<int>(zoneCount), fastestZoneProbe, slowestZoneProbe);
    m_nextZoneProbe = now + (m_zones.doubtful(zone) ? zoneProbeAgain : period);
    auto targets = pickSome(m_table.liveIn(zone), 1, m_table.self().id, m_hooks.random);
    if (!targets.empty()) {
        startProbe(m_table.find(targets.front())->entry, now);
    }
}

// In turn, but a zone in doubt first, so that a cut is found out soon.
std::string gossip_protocol::nextOtherZone()
{
    for (const auto& [zone, members] : m_table.zones()) {
        if (zone != m_table.self().availabilityZone && !members.live.empty() && m_zones.doubtful(zone)) {
            return zone;
        }
    }
    if (m_zoneRound.empty()) {
        for (const auto& [zone, members] : m_table.zones()) {
            if (zone != m_table.self().availabilityZone && !members.live.empty()) {
                m_zoneRound.push_back(zone);
            }
        }
    }
    if (m_zoneRound.empty()) {
        return "";
    }
    auto zone = m_zoneRound.back();
    m_zoneRound.pop_back();
    return zone;
}

void gossip_protocol::startProbe(const member& target, time_point now)
{
    gossip_message ping;
    ping.sequence = m_probes.start(target.id, target.availabilityZone, now, m_health.stretch(m_options.probeTimeout));
    ping.targetId = target.id;
    sendNews(target.id, target.address, std::move(ping), now);
}

void gossip_protocol::askHelpers(const probe& unanswered, time_point now)
{
    const auto* target = m_table.find(unanswered.targetId);
    std::vector<std::uint64_t> helpers;
    if (target && judges(target->entry)) {
        const auto& ownZone = m_table.self().availabilityZone;
        auto near = otherLive(ownZone);
        near.erase(std::remove_if(near.begin(), near.end(), [this](std::uint64_t id) { return m_unanswered.count(id) > 0; }), near.end());
        helpers = pickSome(near, m_options.helpers - 1, unanswered.targetId, m_hooks.random);
        std::vector<std::uint64_t> far;
        for (const auto& [zone, members] : m_table.zones()) {
            if (zone != ownZone && m_zones.reachable(zone)) {
                far.insert(far.end(), members.live.begin(), members.live.end());
            }
        }
        for (auto helper : pickSome(far, m_options.helpers - helpers.size(), unanswered.targetId, m_hooks.random)) {
            helpers.push_back(helper);
        }
    }
    auto deadline = helpers.empty() ? now : now + m_health.stretch(m_options.indirectTimeout);
    m_probes.askedHelpers(unanswered.sequence, helpers.size(), deadline);
    for (auto helper : helpers) {
        gossip_message request;
        request.kind = gossip_kind::PingRequest;
        request.sequence = unanswered.sequence;
        request.targetId = unanswered.targetId;
        request.targetAddress = target->entry.address;
        send(m_table.find(helper)->entry.address, std::move(request), now);
    }
}

bool gossip_protocol::judges(const member& entry) const
{
    if (entry.availabilityZone == m_table.self().availabilityZone || !m_options.zonesApart) {
        return true;
    }
    return m_zones.reachable(entry.availabilityZone) && m_table.liveIn(entry.availabilityZone).size() < m_options.smallZone;
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
        m_zones.unanswered(zone, failed.targetId, m_table.liveIn(zone).size(), now);
    }
    if (!judges(target->entry)) {
        return;
    }
    m_changes += ++m_unanswered[failed.targetId] == unreachableAfter ? 1 : 0;
    // Nobody else answered either: the fault is more likely here.
    if (failed.helpersHeard == 0 && m_options.doubtsItself) {
        if (failed.helpersAsked > 0) {
            m_health.worsen();
        }
        m_schedule.probeAgain(failed.targetId);
        return;
    }
    // Whom the whole zone's silence concerns is left to the zone.
    bool zoneSilent = !ownZone && m_zones.doubtful(zone) && m_table.liveIn(zone).size() < 2;
    if (m_options.zonesApart && zoneSilent) {
        return;
    }
    m_suspicionsRaised += target->entry.state == member_state::Suspect ? 0 : 1;
    m_table.judge(failed.targetId, member_state::Suspect, "did not answer a probe", now);
}

void gossip_protocol::expireSuspicions(time_point now)
{
    for (const auto& suspicion : m_suspicions.expired(now)) {
        const auto* record = m_table.find(suspicion.memberId);
        if (!record || record->entry.state != member_state::Suspect) {
            m_suspicions.stop(suspicion.memberId);
            continue;
        }
        // An answer to a probe sent since shows that this node would have heard a refutation.
        bool wouldHaveHeard = m_health.trusted() && m_health.heardSince(suspicion.since);
        if (!judges(record->entry) || (m_options.doubtsItself && !wouldHaveHeard)) {
            continue;
        }
        const auto& zone = record->entry.availabilityZone;
        if (m_options.zonesApart && zone != m_table.self().availabilityZone && m_zones.doubtful(zone)) {
            continue;
        }
        ++m_deathsDeclared;
        m_table.judge(suspicion.memberId, member_state::Dead, "did not refute a suspicion", now);
    }
}

// A zone that nobody has come back from for this long will hardly do so.
void gossip_protocol::retireUnreachable(time_point now)
{
    for (const auto& [zone, members] : m_table.zones()) {
        if (m_zones.unreachableFor(zone, now) < m_options.unreachableLimit) {
            continue;
        }
        const auto gone = members.live;
        for (auto memberId : gone) {
            m_table.judge(memberId, member_state::Dead, "zone unreachable for too long", now);
        }
    }
}

bool gossip_protocol::alone(time_point now) const
{
    if (m_table.liveCount() < 2) {
        return true;
    }
    return now - m_started >= aloneAfter && !m_health.heardSince(now - aloneAfter);
}

void gossip_protocol::greetContacts(time_point now)
{
    if (!due(m_nextGreeting, alone(now) ? m_options.joinPeriod : m_options.rejoinPeriod, now)) {
        return;
    }
    std::vector<std::string> contacts;
    for (const auto& contact : m_contacts) {
        if (alone(now) || !m_table.hasLiveAddress(contact)) {
            contacts.push_back(contact);
        }
    }
    constexpr std::size_t greetedAtOnce = 3;
    for (std::size_t i = 0; i < greetedAtOnce && !contacts.empty(); ++i) {
        auto chosen = contacts.begin() + static_cast<std::ptrdiff_t>(m_hooks.random(contacts.size()));
        gossip_message greeting;
        greeting.updates.push_back(m_table.updateOf(m_table.self().id, now));
        send(*chosen, std::move(greeting), now);
        contacts.erase(chosen);
    }
}

std::vector<std::uint64_t> gossip_protocol::pushTargets() const
{
    const auto& ownZone = m_table.self().availabilityZone;
    std::vector<std::string> farZones;
    for (const auto& [zone, members] : m_table.zones()) {
        if (zone != ownZone && !members.live.empty() && m_zones.reachable(zone)) {
            farZones.push_back(zone);
        }
    }
    auto nearCount = farZones.empty() ? m_options.fanOut : m_options.fanOut - 1;
    auto targets = pickSome(m_table.liveIn(ownZone), nearCount, m_table.self().id, m_hooks.random);
    while (!farZones.empty() && targets.size() < m_options.fanOut) {
        auto chosen = farZones.begin() + static_cast<std::ptrdiff_t>(m_hooks.random(farZones.size()));
        auto far = pickSome(m_table.liveIn(*chosen), 1, 0, m_hooks.random);
        targets.insert(targets.end(), far.begin(), far.end());
        farZones.erase(chosen);
    }
    return targets;
}

void gossip_protocol::push(time_point now)
{
    if (!m_pushes.take(now)) {
        return;
    }
    gossip_message message;
    message.kind = gossip_kind::Push;
    appendNews(message, now);
    for (auto target : pushTargets()) {
        send(m_table.find(target)->entry.address, message, now);
    }
}

void gossip_protocol::sendNews(std::uint64_t memberId, const std::string& address, gossip_message message, time_point now)
{
    const auto* receiver = m_table.find(memberId);
    // Whoever is suspected learns it, and can refute.
    if (receiver && receiver->entry.state != member_state::Alive && receiver->entry.state != member_state::Draining) {
        message.updates.push_back(m_table.updateOf(memberId, now));
    }
    appendNews(message, now);
    send(address, std::move(message), now);
}

void gossip_protocol::appendNews(gossip_message& message, time_point now)
{
    std::size_t used = 0;
    for (const auto& update : message.updates) {
        used += wireBytes(update);
    }
    // An entry that is too long for any datagram travels alone in a longer one.
    auto sizeOf = [&](std::uint64_t id) {
        return m_table.find(id) ? std::min(wireBytes(m_table.updateOf(id, now)), updateBytesPerDatagram) : 0;
    };
    for (auto memberId : m_news.take(updateBytesPerDatagram - std::min(used, updateBytesPerDatagram), sizeOf)) {
        if (m_table.find(memberId)) {
            message.updates.push_back(m_table.updateOf(memberId, now));
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
        m_zones.answered(zone, now);
        return;
    }
    m_zones.unanswered(zone, memberId, m_table.liveIn(zone).size(), now);
}

bool gossip_protocol::reachable(const member& entry) const
{
    if (entry.id == m_table.self().id) {
        return true;
    }
    auto unanswered = m_unanswered.find(entry.id);
    bool answers = unanswered == m_unanswered.end() || unanswered->second < unreachableAfter;
    return answers && m_zones.reachable(entry.availabilityZone);
}

member_list gossip_protocol::snapshot() const
{
    auto members = std::make_shared<std::vector<member>>();
    members->reserve(m_table.liveCount());
    for (const auto& [zone, inZone] : m_table.zones()) {
        for (auto memberId : inZone.live) {
            members->push_back(m_table.find(memberId)->entry);
            members->back().reachable = reachable(members->back());
        }
    }
    return members;
}

}
