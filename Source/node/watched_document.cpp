#include "node/watched_document.h"

#include "decision/rendezvous.h"
#include "node/boot_clock.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    using std::chrono::milliseconds;

    // Nodes of an availability zone that wait for changes at the store. More watchers cost more
    // calls; with fewer, a zone gets no changes while the store rejects some nodes.
    constexpr std::size_t watchersPerZone = 3;

    constexpr milliseconds stepPeriod { 200 };

    // A longer time between two steps means that this process was paused. Messages that arrived meanwhile are
    // handled within the drain time.
    constexpr milliseconds pauseGap { 600 };
    constexpr milliseconds pauseDrainTime { 200 };

    // Knowledge of this age is reported: reads of this node have failed for some time, too.
    constexpr milliseconds outdatedAge { 4000 };

    constexpr milliseconds readTimeout { 1000 };
    constexpr milliseconds peerTimeout { 1000 };

    // Range of the random delay before a read after the store was restored from an earlier copy.
    constexpr milliseconds returnJitter { 400 };

    constexpr milliseconds initialBackoff { 100 };
    constexpr milliseconds maxBackoff { 1600 };
    constexpr std::uint32_t maxDoublings = 4;

    std::chrono::steady_clock::time_point currentTime()
    {
        return std::chrono::steady_clock::now();
    }

}

watched_document::watched_document(boost::asio::io_context& context, key_value_store& store, peer_rpc& peers, std::uint64_t selfId, std::string availabilityZone, watched_document_options options, watched_document_hooks hooks)
    : m_timer(context)
    , m_store(store)
    , m_peers(peers)
    , m_selfId(selfId)
    , m_zone(std::move(availabilityZone))
    , m_options(std::move(options))
    , m_hooks(std::move(hooks))
    , m_members(std::make_shared<std::vector<member>>())
    , m_freshness(m_options.freshness.value_or(freshness_settings {}), m_hooks.randomBelow, bootTime())
    , m_lastStep(bootTime())
{
}

void watched_document::start()
{
    m_nextCall = currentTime() + m_options.firstCallDelay;
    step();
}

void watched_document::setMembers(const member_list& members)
{
    m_members = members;
}

std::vector<std::uint64_t> watched_document::watcherCandidates() const
{
    std::vector<std::uint64_t> result;
    for (const auto& candidate : *m_members) {
        if (candidate.availabilityZone == m_zone && candidate.state == member_state::Alive) {
            result.push_back(candidate.id);
        }
    }
    return result;
}

bool watched_document::isWatcher() const
{
    bool isAlone = m_members->size() < 2;
    return isAlone || rendezvousRank(m_selfId, watcherCandidates(), watchersPerZone).has_value();
}

std::uint64_t watched_document::firstWatcher() const
{
    return rendezvousFirst(watcherCandidates()).value_or(m_selfId);
}

// Starts the next call to the store unless one is in progress.
void watched_document::step()
{
    readIfStale();
    m_timer.expires_after(untilNextStep());
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            step();
        }
    });
    if (m_calling || currentTime() < m_nextCall) {
        return;
    }
    // If every node reads, a node does not start with an older version than the store has.
    bool isFirstRead = m_options.readOnEveryNode && !m_readOnce;
    if (isFirstRead || (isWatcher() && m_storeRevision == 0)) {
        readStore();
    } else if (isWatcher()) {
        waitAtStore();
    }
}

milliseconds watched_document::untilNextStep() const
{
    return m_options.freshness ? std::min(stepPeriod, m_freshness.untilNextCheck(bootTime())) : stepPeriod;
}

// In addition to a call in progress, which may never be answered.
void watched_document::readIfStale()
{
    auto now = bootTime();
    noticePause(now);
    if (!m_options.freshness) {
        return;
    }
    reportFreshness(now);
    if (!m_freshness.takeRead(m_members->size(), now)) {
        return;
    }
    ++m_counts.reads;
    ++m_counts.staleReads;
    bool isCutOff = !std::exchange(m_toldSinceRead, false);
    if (isCutOff && m_hooks.readWhileCutOff) {
        m_hooks.readWhileCutOff();
    }
    m_store.get(m_options.key, readTimeout, [this, now](const store_result<store_range>& result) {
        const auto* range = std::get_if<store_range>(&result);
        m_freshness.readEnded(range != nullptr, m_members->size(), bootTime());
        if (!range) {
            return;
        }
        if (!range->entries.empty()) {
            m_hooks.readFromStore(range->entries.front());
        }
        m_freshness.confirmed(now);
    });
}

void watched_document::noticePause(std::chrono::steady_clock::time_point now)
{
    if (now - m_lastStep > pauseGap) {
        m_heedsAgesFrom = now + pauseDrainTime;
    }
    m_lastStep = now;
}

void watched_document::reportFreshness(std::chrono::steady_clock::time_point now)
{
    auto currentAge = m_freshness.age(now);
    bool isOutdated = currentAge && *currentAge >= outdatedAge;
    if (isOutdated && !m_outdatedSince) {
        m_outdatedSince = now;
        if (m_hooks.outdated) {
            m_hooks.outdated(*currentAge);
        }
    } else if (!isOutdated && m_outdatedSince) {
        auto duration = std::chrono::duration_cast<milliseconds>(now - *m_outdatedSince);
        m_outdatedSince.reset();
        if (m_hooks.upToDate) {
            m_hooks.upToDate(duration);
        }
    }
}

void watched_document::readStore()
{
    m_calling = true;
    ++m_counts.reads;
    m_store.get(m_options.key, readTimeout, [this, generation = m_generation, sent = bootTime()](const store_result<store_range>& result) {
        if (generation != m_generation) {
            return;
        }
        m_calling = false;
        if (const auto* failure = std::get_if<store_failure>(&result)) {
            callFailed(failure->message);
            return;
        }
        callSucceeded();
        m_readOnce = true;
        const auto& range = std::get<store_range>(result);
        m_storeRevision = range.revision;
        if (!range.entries.empty()) {
            m_hooks.readFromStore(range.entries.front());
        }
        m_freshness.confirmed(sent);
        if (isWatcher() && m_storeRevision != 0) {
            waitAtStore();
        }
    });
}

void watched_document::waitAtStore()
{
    m_calling = true;
    ++m_counts.waits;
    auto maxWait = m_options.minWait + milliseconds(m_hooks.randomBelow(static_cast<std::uint64_t>(m_options.waitJitter.count())));
    m_store.waitForChanges(m_options.key, m_storeRevision, maxWait, [this, generation = m_generation](const store_result<store_changes>& result) {
        if (generation != m_generation) {
            return;
        }
        m_calling = false;
        if (const auto* failure = std::get_if<store_failure>(&result)) {
            m_storeRevision = 0;
            callFailed(failure->message);
            return;
        }
        const auto& changes = std::get<store_changes>(result);
        callSucceeded();
        m_storeRevision = changes.historyIsGone ? 0 : changes.revision;
        for (const auto& entry : changes.written) {
            if (entry.key == m_options.key) {
                m_hooks.readFromStore(entry);
            }
        }
        if (!changes.historyIsGone) {
            m_freshness.confirmed(bootTime());
        }
        step();
    });
}

void watched_document::readAgain()
{
    if (isWatcher()) {
        readNow();
    }
}

void watched_document::readNow()
{
    ++m_counts.reads;
    m_store.get(m_options.key, readTimeout, [this](const store_result<store_range>& result) {
        const auto* range = std::get_if<store_range>(&result);
        if (range && !range->entries.empty()) {
            m_hooks.readFromStore(range->entries.front());
        }
    });
}

void watched_document::storeReturned()
{
    ++m_generation;
    m_calling = false;
    m_storeRevision = 0;
    auto jitter = m_hooks.randomBelow(static_cast<std::uint64_t>(returnJitter.count()));
    m_nextCall = currentTime() + milliseconds(jitter);
}

void watched_document::callFailed(const std::string& reason)
{
    ++m_counts.failures;
    if (m_failuresInARow == 0) {
        m_failingSince = currentTime();
        m_hooks.storeFailed(reason);
    }
    auto backoff = std::min<milliseconds>(initialBackoff * (1 << std::min(m_failuresInARow, maxDoublings)), maxBackoff);
    ++m_failuresInARow;
    auto jitter = m_hooks.randomBelow(static_cast<std::uint64_t>(backoff.count()));
    m_nextCall = currentTime() + backoff / 2 + milliseconds(jitter);
}

void watched_document::callSucceeded()
{
    if (std::exchange(m_failuresInARow, 0) == 0) {
        return;
    }
    m_hooks.storeRecovered(std::chrono::duration_cast<milliseconds>(currentTime() - m_failingSince));
}

void watched_document::peerVersion(const member& peer, std::int64_t version, const std::optional<milliseconds>& age)
{
    if (version > m_hooks.version()) {
        if (!m_fetching) {
            fetchFrom(peer.operatorAddress);
        }
        return;
    }
    auto now = bootTime();
    bool heedsAges = now >= m_heedsAgesFrom && now - m_lastStep <= pauseGap;
    if (!age || !heedsAges) {
        return;
    }
    auto ownAge = m_freshness.age(now);
    m_toldSinceRead = m_toldSinceRead || !ownAge || *age < *ownAge;
    m_freshness.confirmed(now - *age);
}

std::optional<milliseconds> watched_document::age() const
{
    return m_freshness.age(bootTime());
}

void watched_document::fetchFrom(const std::string& operatorAddress)
{
    m_fetching = true;
    ++m_counts.peerFetches;
    Json::Value parameters;
    parameters["revision"] = Json::Int64(m_hooks.version());
    m_peers.call(operatorAddress, m_options.peerMethod, parameters, peerTimeout, [this](const operator_result& result) {
        m_fetching = false;
        if (const auto* value = std::get_if<Json::Value>(&result)) {
            m_hooks.fetchedFromPeer(*value);
        }
    });
}

Json::Value watched_document::dump() const
{
    Json::Value state;
    state["version"] = Json::Int64(m_hooks.version());
    state["reads"] = Json::UInt64(m_counts.reads);
    state["waits"] = Json::UInt64(m_counts.waits);
    state["failures"] = Json::UInt64(m_counts.failures);
    state["peer_fetches"] = Json::UInt64(m_counts.peerFetches);
    state["stale_reads"] = Json::UInt64(m_counts.staleReads);
    auto currentAge = age();
    state["age_ms"] = currentAge ? Json::Value(Json::Int64(currentAge->count())) : Json::Value();
    return state;
}

}
