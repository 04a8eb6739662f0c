#include "node/watched_document.h"

#include "decision/rendezvous.h"

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

    // Over which nodes read anew when the store has come back from a copy.
    constexpr milliseconds returnSpread { 400 };

    constexpr milliseconds firstBackoff { 100 };
    constexpr milliseconds longestBackoff { 1600 };
    constexpr std::uint32_t mostDoublings = 4;

    std::chrono::steady_clock::time_point currentTime()
    {
        return std::chrono::steady_clock::now();
    }

}

watched_document::watched_document(boost::asio::io_context& context, key_value_store& store, peer_rpc& peers, std::uint64_t selfId, std::string availabilityZone, watched_document_terms terms, watched_document_hooks hooks)
    : m_timer(context)
    , m_store(store)
    , m_peers(peers)
    , m_selfId(selfId)
    , m_zone(std::move(availabilityZone))
    , m_terms(std::move(terms))
    , m_hooks(std::move(hooks))
    , m_members(std::make_shared<std::vector<member>>())
{
}

void watched_document::start()
{
    m_nextCall = currentTime() + m_terms.firstCall;
    step();
}

void watched_document::setMembers(const member_list& members)
{
    m_members = members;
}

std::vector<std::uint64_t> watched_document::candidates() const
{
    std::vector<std::uint64_t> result;
    for (const auto& each : *m_members) {
        if (each.availabilityZone == m_zone && each.state == member_state::Alive) {
            result.push_back(each.id);
        }
    }
    return result;
}

bool watched_document::isWatcher() const
{
    bool isAlone = m_members->size() < 2;
    return isAlone || rendezvousRank(m_selfId, candidates(), watchersPerZone).has_value();
}

std::uint64_t watched_document::firstWatcher() const
{
    return rendezvousFirst(candidates()).value_or(m_selfId);
}

// Goes on with the store where nothing is under way there.
void watched_document::step()
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
    // Where every node reads, it never begins with less than the store knows.
    bool isFirst = m_terms.everyNodeReads && !m_readOnce;
    if (isFirst || (isWatcher() && m_storeRevision == 0)) {
        readStore();
    } else if (isWatcher()) {
        waitAtStore();
    }
}

void watched_document::readStore()
{
    m_calling = true;
    ++m_counts.reads;
    m_store.get(m_terms.key, readTimeout, [this, turn = m_turn](const store_result<store_range>& result) {
        if (turn != m_turn) {
            return;
        }
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
            m_hooks.stored(range.entries.front());
        }
        if (isWatcher() && m_storeRevision != 0) {
            waitAtStore();
        }
    });
}

void watched_document::waitAtStore()
{
    m_calling = true;
    ++m_counts.waits;
    auto longest = m_terms.shortestWait + milliseconds(m_hooks.chance(static_cast<std::uint64_t>(m_terms.waitSpread.count())));
    m_store.waitForChanges(m_terms.key, m_storeRevision, longest, [this, turn = m_turn](const store_result<store_changes>& result) {
        if (turn != m_turn) {
            return;
        }
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
            if (entry.key == m_terms.key) {
                m_hooks.stored(entry);
            }
        }
        step();
    });
}

void watched_document::readAgain()
{
    if (!isWatcher()) {
        return;
    }
    ++m_counts.reads;
    m_store.get(m_terms.key, readTimeout, [this](const store_result<store_range>& result) {
        const auto* range = std::get_if<store_range>(&result);
        if (range && !range->entries.empty()) {
            m_hooks.stored(range->entries.front());
        }
    });
}

void watched_document::storeReturned()
{
    ++m_turn;
    m_calling = false;
    m_storeRevision = 0;
    auto spread = m_hooks.chance(static_cast<std::uint64_t>(returnSpread.count()));
    m_nextCall = currentTime() + milliseconds(spread);
}

void watched_document::failed(const std::string& why)
{
    ++m_counts.failures;
    if (m_failuresInARow == 0) {
        m_lost = currentTime();
        m_hooks.lost(why);
    }
    auto backoff = std::min<milliseconds>(firstBackoff * (1 << std::min(m_failuresInARow, mostDoublings)), longestBackoff);
    ++m_failuresInARow;
    auto spread = m_hooks.chance(static_cast<std::uint64_t>(backoff.count()));
    m_nextCall = currentTime() + backoff / 2 + milliseconds(spread);
}

void watched_document::answered()
{
    if (std::exchange(m_failuresInARow, 0) == 0) {
        return;
    }
    m_hooks.back(std::chrono::duration_cast<milliseconds>(currentTime() - m_lost));
}

void watched_document::peerVersion(const member& peer, std::int64_t version)
{
    if (version > m_hooks.version() && !m_fetching) {
        fetchFrom(peer.operatorAddress);
    }
}

void watched_document::fetchFrom(const std::string& operatorAddress)
{
    m_fetching = true;
    ++m_counts.peerFetches;
    Json::Value parameters;
    parameters["revision"] = Json::Int64(m_hooks.version());
    m_peers.call(operatorAddress, m_terms.peerMethod, parameters, peerTimeout, [this](const operator_result& result) {
        m_fetching = false;
        if (const auto* value = std::get_if<Json::Value>(&result)) {
            m_hooks.told(*value);
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
    return state;
}

}
