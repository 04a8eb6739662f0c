#include "node/route_watch.h"

#include "events/event_catalogue.h"
#include "membership/rendezvous.h"
#include "platform/route_document.h"
#include "platform/wire_names.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    using std::chrono::milliseconds;

    // Nodes of an availability zone that wait at the store. More cost calls, and
    // fewer leave a zone without news while the store turns some nodes away.
    constexpr std::size_t watchersPerZone = 3;

    constexpr milliseconds stepPeriod { 200 };
    constexpr milliseconds readTimeout { 1000 };
    constexpr milliseconds peerTimeout { 1000 };
    // A wait on which the store has gone silent costs its whole length: it is short
    // beside the seconds in which a change has to be in force.
    constexpr milliseconds shortestWait { 2500 };
    constexpr std::uint64_t waitSpread = 1500;

    constexpr milliseconds firstBackoff { 100 };
    constexpr milliseconds longestBackoff { 1600 };
    constexpr std::uint32_t mostDoublings = 4;

    std::chrono::steady_clock::time_point currentTime()
    {
        return std::chrono::steady_clock::now();
    }

}

route_watch::route_watch(boost::asio::io_context& context, key_value_store& store, peer_rpc& peers, std::uint64_t selfId, std::string availabilityZone, route_watch_hooks hooks)
    : m_timer(context)
    , m_store(store)
    , m_peers(peers)
    , m_selfId(selfId)
    , m_zone(std::move(availabilityZone))
    , m_hooks(std::move(hooks))
    , m_members(std::make_shared<std::vector<member>>())
{
}

void route_watch::start()
{
    step();
}

void route_watch::setMembers(const member_list& members)
{
    m_members = members;
}

bool route_watch::isWatcher() const
{
    std::vector<std::uint64_t> candidates;
    for (const auto& each : *m_members) {
        if (each.availabilityZone == m_zone && each.state == member_state::Alive) {
            candidates.push_back(each.id);
        }
    }
    bool isAlone = m_members->size() < 2;
    return isAlone || rendezvousRank(m_selfId, candidates, watchersPerZone).has_value();
}

// Goes on with the store where nothing is under way there.
void route_watch::step()
{
    m_timer.expires_after(stepPeriod);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            step();
        }
    });
    if (m_calling || currentTime() < m_nextCall) {
        return;
    }
    // Every node reads once, so that it never begins with less than the store knows.
    if (!m_readOnce || (isWatcher() && m_storeRevision == 0)) {
        readStore();
    } else if (isWatcher()) {
        waitAtStore();
    }
}

void route_watch::readStore()
{
    m_calling = true;
    ++m_counts.reads;
    m_store.get(wire::configurationKey, readTimeout, [this](const store_result<store_range>& result) {
        m_calling = false;
        if (const auto* failure = std::get_if<store_failure>(&result)) {
            failed(failure->message);
            return;
        }
        answered();
        m_readOnce = true;
        const auto& range = std::get<store_range>(result);
        m_storeRevision = range.revision;
        if (!range.entries.empty()) {
            take(range.entries.front().value);
        }
        if (isWatcher() && m_storeRevision != 0) {
            waitAtStore();
        }
    });
}

void route_watch::waitAtStore()
{
    m_calling = true;
    ++m_counts.waits;
    auto longest = shortestWait + milliseconds(m_hooks.chance(waitSpread));
    m_store.waitForChanges(wire::configurationKey, m_storeRevision, longest, [this](const store_result<store_changes>& result) {
        m_calling = false;
        if (const auto* failure = std::get_if<store_failure>(&result)) {
            m_storeRevision = 0;
            failed(failure->message);
            return;
        }
        const auto& changes = std::get<store_changes>(result);
        answered();
        m_storeRevision = changes.historyIsGone ? 0 : changes.revision;
        for (const auto& entry : changes.written) {
            if (entry.key == wire::configurationKey) {
                take(entry.value);
            }
        }
        step();
    });
}

void route_watch::failed(const std::string& why)
{
    ++m_counts.failures;
    if (m_failuresInARow == 0) {
        m_lost = currentTime();
        logEvent(events::storeLost, { { "reason", why } });
    }
    auto backoff = std::min<milliseconds>(firstBackoff * (1 << std::min(m_failuresInARow, mostDoublings)), longestBackoff);
    ++m_failuresInARow;
    auto spread = m_hooks.chance(static_cast<std::uint64_t>(backoff.count()));
    m_nextCall = currentTime() + backoff / 2 + milliseconds(spread);
}

void route_watch::answered()
{
    if (std::exchange(m_failuresInARow, 0) == 0) {
        return;
    }
    auto away = std::chrono::duration_cast<milliseconds>(currentTime() - m_lost);
    logEvent(events::storeBack, { { "after_ms", std::to_string(away.count()) } });
}

bool route_watch::take(const std::string& document)
{
    auto parsed = parseRouteDocument(document);
    if (const auto* problem = std::get_if<route_document_problem>(&parsed)) {
        ++m_counts.unreadable;
        logEvent(events::routesUnreadable, { { "problem", problem->message }, { "in_force", std::to_string(m_version) } });
        return false;
    }
    auto configuration = std::make_shared<route_configuration>(std::move(std::get<route_configuration>(parsed)));
    if (configuration->version <= m_version) {
        return false;
    }
    m_version = configuration->version;
    m_document = document;
    m_hooks.changed(configuration);
    return true;
}

void route_watch::peerVersion(const member& peer, std::int64_t version)
{
    if (version > m_version && !m_fetching) {
        fetchFrom(peer.operatorAddress);
    }
}

void route_watch::fetchFrom(const std::string& operatorAddress)
{
    m_fetching = true;
    ++m_counts.peerFetches;
    Json::Value parameters;
    parameters["revision"] = Json::Int64(m_version);
    m_peers.call(operatorAddress, "contracts_since", parameters, peerTimeout, [this](const operator_result& result) {
        m_fetching = false;
        const auto* value = std::get_if<Json::Value>(&result);
        if (value && (*value)["document"].isString()) {
            take((*value)["document"].asString());
        }
    });
}

Json::Value route_watch::newsSince(std::int64_t version) const
{
    Json::Value news;
    news["revision"] = Json::Int64(m_version);
    if (m_version > version) {
        news["document"] = m_document;
    }
    return news;
}

Json::Value route_watch::dump() const
{
    Json::Value state;
    state["version"] = Json::Int64(m_version);
    state["reads"] = Json::UInt64(m_counts.reads);
    state["waits"] = Json::UInt64(m_counts.waits);
    state["failures"] = Json::UInt64(m_counts.failures);
    state["peer_fetches"] = Json::UInt64(m_counts.peerFetches);
    state["unreadable"] = Json::UInt64(m_counts.unreadable);
    return state;
}

}
