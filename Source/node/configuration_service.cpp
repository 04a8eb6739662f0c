#include "node/configuration_service.h"

#include "decision/rendezvous.h"
#include "node/boot_clock.h"
#include "store/seed_directory.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    using std::chrono::milliseconds;

    // Watchers in each availability zone; the second takes over if the first fails.
    constexpr std::size_t watchersPerZone = 2;

    constexpr milliseconds pollPeriod { 500 };
    constexpr milliseconds storeTimeout { 2000 };
    constexpr milliseconds peerTimeout { 2000 };

    // How often a watcher asks for changes besides, since a watch may hang unnoticed, and since the other nodes
    // have to be told that the contracts are the latest ones.
    constexpr milliseconds rereadPeriod { 4000 };

    // A change has to be in force everywhere within 10 s.
    constexpr freshness_settings contractFreshness { milliseconds(6000), milliseconds(1000), milliseconds(1), milliseconds(500), milliseconds(8000) };

    // A longer time between two polls means that this process was paused. Messages that arrived meanwhile are
    // handled within the drain time.
    constexpr milliseconds pauseGap { 1500 };
    constexpr milliseconds pauseDrainTime { 200 };

    // Delay after a failed call to the store; doubles with each consecutive failure.
    constexpr milliseconds initialBackoff { 500 };
    constexpr milliseconds maxBackoff { 15000 };
    constexpr std::uint32_t maxDoublings = 5;

    contract_update updateFrom(const store_range& range, std::int64_t since)
    {
        // The store's own revision also rises with every claim and seed. Only the
        // revisions of contracts count here, or each of those writes would make
        // every node fetch the contracts.
        contract_update update;
        update.since = since;
        for (const auto& entry : range.entries) {
            update.entries.push_back({ entry.value, entry.modRevision });
            update.revision = std::max(update.revision, entry.modRevision);
        }
        return update;
    }

    Json::Value toJson(const contract_update& update)
    {
        Json::Value value;
        value["since"] = Json::Int64(update.since);
        value["revision"] = Json::Int64(update.revision);
        value["contracts"] = Json::arrayValue;
        for (const auto& entry : update.entries) {
            Json::Value item;
            item["text"] = entry.text;
            item["revision"] = Json::Int64(entry.revision);
            value["contracts"].append(item);
        }
        return value;
    }

    std::optional<contract_update> parseUpdate(const Json::Value& value)
    {
        if (!value.isObject() || !value["since"].isInt64() || !value["revision"].isInt64() || !value["contracts"].isArray()) {
            return std::nullopt;
        }
        contract_update update;
        update.since = value["since"].asInt64();
        update.revision = value["revision"].asInt64();
        for (const auto& item : value["contracts"]) {
            if (!item.isObject() || !item["text"].isString() || !item["revision"].isInt64()) {
                return std::nullopt;
            }
            update.entries.push_back({ item["text"].asString(), item["revision"].asInt64() });
        }
        return update;
    }

}

configuration_service::configuration_service(boost::asio::io_context& context, store_client& store, peer_rpc& peers,
    configuration_settings settings, configuration_hooks hooks)
    : m_context(context)
    , m_store(store)
    , m_peers(peers)
    , m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
    , m_timer(context)
    , m_members(std::make_shared<std::vector<member>>())
    , m_freshness(contractFreshness, m_hooks.randomBelow, bootTime())
    , m_lastPoll(bootTime())
{
}

void configuration_service::start()
{
    // A random delay keeps nodes that start at the same time from reading the store at once.
    schedulePoll(withJitter(pollPeriod) / 2);
}

milliseconds configuration_service::withJitter(milliseconds duration) const
{
    auto half = static_cast<std::uint64_t>(duration.count()) / 2;
    return milliseconds(half + m_hooks.randomBelow(half + 1));
}

void configuration_service::schedulePoll(milliseconds delay)
{
    m_timer.expires_after(delay);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            poll();
        }
    });
}

void configuration_service::setMembers(const member_list& members)
{
    m_members = members;
}

bool configuration_service::isStoreWatcher() const
{
    std::vector<std::uint64_t> candidates;
    for (const auto& candidate : *m_members) {
        if (candidate.availabilityZone == m_settings.availabilityZone && candidate.state == member_state::Alive) {
            candidates.push_back(candidate.id);
        }
    }
    return rendezvousRank(m_settings.selfId, candidates, watchersPerZone).has_value();
}

void configuration_service::poll()
{
    auto now = std::chrono::steady_clock::now();
    if (std::exchange(m_watchEnded, false)) {
        m_watch.reset();
    }
    bool watcher = isStoreWatcher();
    if (!watcher) {
        m_watch.reset();
    }
    schedulePoll(withJitter(pollPeriod));
    readIfStale();
    if (now < m_nextRead || m_settings.endpoints.empty()) {
        catchUpFromPeer();
        return;
    }
    bool hasOtherMembers = m_members->size() > 1;
    if (watcher || (!m_hasReadStore && !hasOtherMembers)) {
        readStore();
    } else {
        catchUpFromPeer();
    }
}

void configuration_service::readStore()
{
    m_nextRead = std::chrono::steady_clock::now() + withJitter(rereadPeriod);
    ++m_counts.ranges;
    auto since = m_book.revision();
    m_store.rangeChangedAfter(contractPrefix, since, storeTimeout, [this, since, sent = bootTime()](store_result<store_range> result) {
        if (const auto* failure = std::get_if<store_failure>(&result)) {
            storeFailed(failure->message);
            return;
        }
        if (std::exchange(m_consecutiveFailures, 0) > 0 && m_hooks.storeRecovered) {
            m_hooks.storeRecovered();
        }
        m_hasReadStore = true;
        const auto& range = std::get<store_range>(result);
        // The watch should have reported these changes before; it may hang.
        if (take(updateFrom(range, since))) {
            m_watch.reset();
        }
        m_freshness.confirmed(sent);
        if (!m_watch && isStoreWatcher()) {
            startWatch(range.revision + 1);
        }
    });
}

void configuration_service::readIfStale()
{
    auto now = bootTime();
    if (now - m_lastPoll > pauseGap) {
        m_heedsAgesFrom = now + pauseDrainTime;
    }
    m_lastPoll = now;
    if (m_settings.endpoints.empty() || !m_freshness.takeRead(m_members->size(), now)) {
        return;
    }
    ++m_counts.ranges;
    ++m_counts.staleReads;
    auto since = m_book.revision();
    m_store.rangeChangedAfter(contractPrefix, since, storeTimeout, [this, since, now](const store_result<store_range>& result) {
        const auto* range = std::get_if<store_range>(&result);
        m_freshness.readEnded(range != nullptr, m_members->size(), bootTime());
        if (range) {
            take(updateFrom(*range, since));
            m_freshness.confirmed(now);
        }
    });
}

// Starts at the store revision that has just been read. The newest contract's
// revision may be so old that the store has already compacted the revisions after it.
void configuration_service::startWatch(std::int64_t fromRevision)
{
    ++m_counts.watches;
    m_watchEnded = false;
    store_watch_hooks hooks;
    hooks.changed = [this](const store_range& range) { take(updateFrom(range, m_book.revision())); };
    hooks.ended = [this](const std::string& reason) {
        m_watchEnded = true;
        ++m_nextEndpoint;
        storeFailed(reason);
    };
    const auto& endpoint = m_settings.endpoints[m_nextEndpoint % m_settings.endpoints.size()];
    m_watch = std::make_unique<store_watch>(m_context, endpoint, m_settings.outgoingAddress, contractPrefix, fromRevision, hooks);
}

void configuration_service::storeFailed(const std::string& reason)
{
    m_lastFailure = reason;
    auto doublings = std::min(m_consecutiveFailures, maxDoublings);
    ++m_consecutiveFailures;
    auto backoff = std::min<milliseconds>(initialBackoff * (1 << doublings), maxBackoff);
    m_nextRead = std::chrono::steady_clock::now() + withJitter(backoff);
}

bool configuration_service::take(const contract_update& update)
{
    if (!m_book.merge(update)) {
        return false;
    }
    m_hooks.contractsChanged(m_book.contracts());
    return true;
}

void configuration_service::handlePeerRevision(const member& peer, std::int64_t revision, const std::optional<milliseconds>& peerAge)
{
    if (revision > m_book.revision()) {
        if (!m_fetching) {
            fetchFrom(peer.operatorAddress);
        }
        return;
    }
    auto now = bootTime();
    bool heedsAges = now >= m_heedsAgesFrom && now - m_lastPoll <= pauseGap;
    if (peerAge && heedsAges) {
        m_freshness.confirmed(now - *peerAge);
    }
}

std::optional<milliseconds> configuration_service::age() const
{
    return m_freshness.age(bootTime());
}

// Asks a random member for the contracts as long as this node has none.
void configuration_service::catchUpFromPeer()
{
    if (m_book.revision() != 0 || m_fetching || m_members->size() < 2) {
        return;
    }
    const auto& peer = (*m_members)[m_hooks.randomBelow(m_members->size())];
    if (peer.id != m_settings.selfId) {
        fetchFrom(peer.operatorAddress);
    }
}

void configuration_service::fetchFrom(const std::string& operatorAddress)
{
    m_fetching = true;
    ++m_counts.peerFetches;
    Json::Value parameters;
    parameters["revision"] = Json::Int64(m_book.revision());
    m_peers.call(operatorAddress, "contracts_since", parameters, peerTimeout, [this](const operator_result& result) {
        m_fetching = false;
        const auto* value = std::get_if<Json::Value>(&result);
        auto update = value ? parseUpdate(*value) : std::nullopt;
        if (update) {
            take(*update);
        }
    });
}

Json::Value configuration_service::updateSince(std::int64_t revision) const
{
    return toJson(m_book.updateSince(revision));
}

Json::Value configuration_service::dump() const
{
    Json::Value state;
    state["revision"] = Json::Int64(m_book.revision());
    state["unreadable"] = Json::UInt64(m_book.unreadable());
    state["watching_store"] = m_watch != nullptr && !m_watchEnded;
    state["last_store_failure"] = m_lastFailure;
    state["store_ranges"] = Json::UInt64(m_counts.ranges);
    state["store_watches"] = Json::UInt64(m_counts.watches);
    state["peer_fetches"] = Json::UInt64(m_counts.peerFetches);
    state["stale_reads"] = Json::UInt64(m_counts.staleReads);
    auto currentAge = age();
    state["age_ms"] = currentAge ? Json::Value(Json::Int64(currentAge->count())) : Json::Value();
    for (const auto& [organisation, stored] : m_book.contracts()->byOrganisation) {
        state["customers"][organisation] = Json::Int64(stored.revision);
    }
    return state;
}

}
