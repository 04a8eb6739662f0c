#include "node/configuration_service.h"

#include "decision/rendezvous.h"
#include "store/seed_directory.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    using std::chrono::milliseconds;

    // Watchers for each availability zone: one to watch, one in case it dies.
    constexpr std::size_t watchersPerZone = 2;

    constexpr milliseconds stepPeriod { 500 };
    constexpr milliseconds storeTimeout { 2000 };
    constexpr milliseconds peerTimeout { 2000 };

    // A watcher reads everything again this often, since a watch may hang.
    constexpr milliseconds rereadPeriod { 15000 };

    // How long a node waits after a failed call of the store; doubled each time.
    constexpr milliseconds firstBackoff { 500 };
    constexpr milliseconds longestBackoff { 15000 };
    constexpr std::uint32_t mostDoublings = 5;

    contract_update newsOf(const store_range& range, std::int64_t since)
    {
        // The store's own revision rises with every claim and seed; only the
        // contracts' revisions are to set the fleet in motion.
        contract_update news;
        news.since = since;
        for (const auto& entry : range.entries) {
            news.entries.push_back({ entry.value, entry.modRevision });
            news.revision = std::max(news.revision, entry.modRevision);
        }
        return news;
    }

    Json::Value toJson(const contract_update& news)
    {
        Json::Value value;
        value["since"] = Json::Int64(news.since);
        value["revision"] = Json::Int64(news.revision);
        value["contracts"] = Json::arrayValue;
        for (const auto& entry : news.entries) {
            Json::Value item;
            item["text"] = entry.text;
            item["revision"] = Json::Int64(entry.revision);
            value["contracts"].append(item);
        }
        return value;
    }

    std::optional<contract_update> readNews(const Json::Value& value)
    {
        if (!value.isObject() || !value["since"].isInt64() || !value["revision"].isInt64() || !value["contracts"].isArray()) {
            return std::nullopt;
        }
        contract_update news;
        news.since = value["since"].asInt64();
        news.revision = value["revision"].asInt64();
        for (const auto& item : value["contracts"]) {
            if (!item.isObject() || !item["text"].isString() || !item["revision"].isInt64()) {
                return std::nullopt;
            }
            news.entries.push_back({ item["text"].asString(), item["revision"].asInt64() });
        }
        return news;
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
{
}

void configuration_service::start()
{
    // A fleet that starts at once comes to the store one by one.
    scheduleStep(spread(stepPeriod) / 2);
}

milliseconds configuration_service::spread(milliseconds length) const
{
    auto half = static_cast<std::uint64_t>(length.count()) / 2;
    return milliseconds(half + m_hooks.chance(half + 1));
}

void configuration_service::scheduleStep(milliseconds wait)
{
    m_timer.expires_after(wait);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            step();
        }
    });
}

void configuration_service::setMembers(const member_list& members)
{
    m_members = members;
}

bool configuration_service::isDutyWatcher() const
{
    std::vector<std::uint64_t> candidates;
    for (const auto& each : *m_members) {
        if (each.availabilityZone == m_settings.availabilityZone && each.state == member_state::Alive) {
            candidates.push_back(each.id);
        }
    }
    return rendezvousRank(m_settings.selfId, candidates, watchersPerZone).has_value();
}

void configuration_service::step()
{
    auto now = std::chrono::steady_clock::now();
    if (std::exchange(m_watchEnded, false)) {
        m_watch.reset();
    }
    bool watcher = isDutyWatcher();
    if (!watcher) {
        m_watch.reset();
    }
    scheduleStep(spread(stepPeriod));
    if (now < m_nextRead || m_settings.endpoints.empty()) {
        catchUpFromPeer();
        return;
    }
    bool others = m_members->size() > 1;
    if (watcher || (!m_readOnce && !others)) {
        readStore();
    } else {
        catchUpFromPeer();
    }
}

void configuration_service::readStore()
{
    m_nextRead = std::chrono::steady_clock::now() + spread(rereadPeriod);
    ++m_counts.ranges;
    m_store.rangePrefix(contractPrefix, storeTimeout, [this](store_result<store_range> result) {
        if (const auto* failure = std::get_if<store_failure>(&result)) {
            storeFailed(failure->message);
            return;
        }
        m_failuresInRow = 0;
        m_readOnce = true;
        const auto& range = std::get<store_range>(result);
        // A watch that has kept silent about news may hang.
        if (take(newsOf(range, 0))) {
            m_watch.reset();
        }
        if (!m_watch && isDutyWatcher()) {
            startWatch(range.revision + 1);
        }
    });
}

// Begins where the store has just been read: the contracts' own revision may lie
// so far back that the store has compacted what came after it.
void configuration_service::startWatch(std::int64_t fromRevision)
{
    ++m_counts.watches;
    m_watchEnded = false;
    store_watch_hooks hooks;
    hooks.changed = [this](const store_range& range) { take(newsOf(range, m_book.revision())); };
    hooks.ended = [this](const std::string& why) {
        m_watchEnded = true;
        ++m_nextEndpoint;
        storeFailed(why);
    };
    const auto& endpoint = m_settings.endpoints[m_nextEndpoint % m_settings.endpoints.size()];
    m_watch = std::make_unique<store_watch>(m_context, endpoint, m_settings.outgoingAddress, contractPrefix, fromRevision, hooks);
}

void configuration_service::storeFailed(const std::string& why)
{
    m_lastFailure = why;
    auto doublings = std::min(m_failuresInRow, mostDoublings);
    ++m_failuresInRow;
    auto backoff = std::min<milliseconds>(firstBackoff * (1 << doublings), longestBackoff);
    m_nextRead = std::chrono::steady_clock::now() + spread(backoff);
}

bool configuration_service::take(const contract_update& news)
{
    if (!m_book.merge(news)) {
        return false;
    }
    m_hooks.contractsChanged(m_book.contracts());
    return true;
}

void configuration_service::peerRevision(const member& peer, std::int64_t revision)
{
    if (revision > m_book.revision() && !m_fetching) {
        fetchFrom(peer.operatorAddress);
    }
}

// A node that knows nothing yet, and hears nothing, asks somebody.
void configuration_service::catchUpFromPeer()
{
    if (m_book.revision() != 0 || m_fetching || m_members->size() < 2) {
        return;
    }
    const auto& peer = (*m_members)[m_hooks.chance(m_members->size())];
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
        auto news = value ? readNews(*value) : std::nullopt;
        if (news) {
            take(*news);
        }
    });
}

Json::Value configuration_service::newsSince(std::int64_t revision) const
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
    for (const auto& [organisation, stored] : m_book.contracts()->byOrganisation) {
        state["customers"][organisation] = Json::Int64(stored.revision);
    }
    return state;
}

}
