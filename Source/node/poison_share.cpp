#include "node/poison_share.h"

#include "events/event_catalogue.h"
#include "http/json_text.h"
#include "operator/operator_port.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    using std::chrono::milliseconds;

    constexpr const char* documentKey = "/vanillashunt/poison";
    // A slow store needs a fifth of a second; behind a silent one peers wait for the news.
    constexpr milliseconds callTimeout { 500 };

    // Until a write that met another node's, or none, is tried again. Several servers may
    // end at once; and whoever returns after an outage has `stable_window_s`, 3 s, to tell.
    constexpr milliseconds conflictPause { 20 };

    // For how long the collector waits for what others have seen of the same trouble: their
    // servers' ends are told within 30 ms and a turn of their loops.
    constexpr milliseconds gatherTime { 100 };
    // Until a witness writes what the collector has not: that takes its gathering, some
    // conflicts, and the news.
    constexpr milliseconds collectorTime { 700 };
    constexpr milliseconds collectorTimeout { 300 };

    constexpr milliseconds firstFailurePause { 100 };
    constexpr std::uint32_t mostDoublings = 4;

    // Nodes that are told in each round by one that does not reach the store, and the rounds in
    // which whoever was told tells on: each tells 12, which is more than the logarithm of 6,700
    // nodes, so that hardly anybody is left out.
    constexpr std::size_t peersTold = 3;
    constexpr std::uint32_t tellingRounds = 4;
    constexpr milliseconds peerTimeout { 1000 };

    watched_document_terms poisonTerms()
    {
        watched_document_terms terms;
        terms.key = documentKey;
        terms.peerMethod = poisonSinceMethod;
        terms.everyNodeReads = false;
        // Nodes are ready within two seconds of their start, and bound a second later.
        terms.firstCall = milliseconds(1200);
        // A third of the calls that the routes cost: gossip tells of nearly every change, and
        // what a zone that is cut off misses by a silent wait is read again with the routes.
        terms.shortestWait = milliseconds(8000);
        terms.waitSpread = milliseconds(4000);
        return terms;
    }

}

poison_share::poison_share(boost::asio::io_context& context, key_value_store& store, peer_rpc& peers, std::uint64_t selfId, std::string availabilityZone, poison_share_hooks hooks)
    : m_store(store)
    , m_peers(peers)
    , m_selfId(selfId)
    , m_hooks(std::move(hooks))
    , m_members(std::make_shared<std::vector<member>>())
    , m_saveTimer(context)
    , m_watched(context, store, peers, selfId, std::move(availabilityZone), poisonTerms(), watchedHooks())
{
}

watched_document_hooks poison_share::watchedHooks()
{
    watched_document_hooks hooks;
    hooks.version = [this] { return m_ledger.version(); };
    hooks.stored = [this](const store_entry& entry) { takeStored(entry); };
    hooks.told = [this](const Json::Value& news) {
        if (auto document = parsePoisonDocument(news)) {
            take(*document);
        }
    };
    hooks.chance = m_hooks.chance;
    // The routes' own calls tell of the store, and log it once.
    hooks.lost = [](const std::string&) {};
    hooks.back = [](milliseconds) {};
    return hooks;
}

void poison_share::setMembers(const member_list& members)
{
    m_members = members;
    m_watched.setMembers(members);
}

void poison_share::serverEnded(const server_end& end)
{
    m_ledger.serverEnded(hashOf(end.start), end.running, m_hooks.wallNow());
    m_isWitness = true;
    save();
}

void poison_share::served(request_fingerprint content)
{
    if (m_ledger.served(content)) {
        m_isWitness = true;
        save();
    }
}

void poison_share::storeBack()
{
    m_watched.readAgain();
    save();
}

void poison_share::storeReturned()
{
    m_revision.reset();
    m_ledger.reconcileWithStored({});
    m_watched.storeReturned();
    save();
}

void poison_share::take(const poison_document& document)
{
    auto before = m_ledger.version();
    m_ledger.merge(document.records, m_hooks.wallNow());
    m_ledger.markSyncedTo(document.version);
    if (m_ledger.version() > before) {
        logEvent(events::poisonChanged, { { "version", std::to_string(m_ledger.version()) }, { "contents", std::to_string(m_ledger.size()) } });
        m_hooks.changed();
    }
    save();
}

void poison_share::takeStored(const store_entry& entry)
{
    m_revision = std::max(m_revision.value_or(0), entry.modRevision);
    if (auto document = parsePoisonDocument(entry.value)) {
        bool isOlder = document->version <= m_ledger.version();
        if (isOlder && entry.modRevision == m_revision) {
            m_ledger.reconcileWithStored(document->records);
        }
        take(*document);
    } else {
        logEvent(events::poisonUnreadable, { { "bytes", std::to_string(entry.value.size()) } });
    }
}

void poison_share::save()
{
    if (m_saving) {
        return;
    }
    if (!m_ledger.hasUnshared(m_hooks.wallNow())) {
        m_isWitness = false;
        m_failuresInARow = 0;
        return;
    }
    if (isCollector()) {
        m_saving = true;
        later(gatherTime, [this] { readAndWrite(); });
    } else if (m_isWitness) {
        m_saving = true;
        tellCollector();
    } else if (m_roundsLeft > 0) {
        m_saving = true;
        --m_roundsLeft;
        tellPeers();
        saveAfter(firstFailurePause);
    }
}

// Servers end together, by a rack or a request: each witness for itself would write against
// all others. Where 24 of 195 nodes lost their servers at once, all nodes made 2,666 calls to the
// store in half a minute so, and 1,406 with one writer for each zone.
void poison_share::tellCollector()
{
    auto first = m_watched.firstWatcher();
    auto found = std::find_if(m_members->begin(), m_members->end(), [first](const member& each) { return each.id == first; });
    if (found == m_members->end() || found->operatorAddress.empty()) {
        readAndWrite();
        return;
    }
    m_peers.call(found->operatorAddress, poisonToldMethod, owed(), collectorTimeout, [this](const operator_result& result) {
        if (std::holds_alternative<Json::Value>(result)) {
            later(collectorTime, [this] { readAndWrite(); });
        } else {
            readAndWrite();
        }
    });
}

// A write succeeds only upon what it has read. It goes on until the document has all that
// is known here, whoever brought it there.
void poison_share::readAndWrite()
{
    if (m_revision || !m_ledger.hasUnshared(m_hooks.wallNow())) {
        write();
        return;
    }
    m_store.get(documentKey, callTimeout, [this](const store_result<store_range>& result) {
        const auto* range = std::get_if<store_range>(&result);
        if (!range) {
            saveFailed();
            return;
        }
        m_revision = 0;
        if (!range->entries.empty()) {
            takeStored(range->entries.front());
        }
        write();
    });
}

void poison_share::write()
{
    if (!m_ledger.hasUnshared(m_hooks.wallNow())) {
        m_saving = false;
        save();
        return;
    }
    auto version = m_ledger.version() + 1;
    poison_document document { version, m_ledger.document(version, m_hooks.wallNow()) };
    ++m_writes;
    m_store.swap(documentKey, *m_revision, writeJson(toJson(document)), callTimeout, [this, document](const store_result<store_swap>& result) {
        const auto* swap = std::get_if<store_swap>(&result);
        if (!swap) {
            ++m_writesFailed;
            m_revision.reset();
            saveFailed();
        } else if (!swap->succeeded) {
            ++m_writesFailed;
            conflicted(*swap);
        } else {
            m_revision = std::max(m_revision.value_or(0), swap->revision);
            m_saving = false;
            take(document);
        }
    });
}

// Another node has written: what it wrote came with the refusal, and need not be read.
void poison_share::conflicted(const store_swap& swap)
{
    m_revision.reset();
    if (!swap.standing.empty()) {
        takeStored(swap.standing.front());
    }
    saveAfter(conflictPause);
}

void poison_share::saveFailed()
{
    tellPeers();
    auto pause = firstFailurePause * (1 << std::min(m_failuresInARow, mostDoublings));
    ++m_failuresInARow;
    saveAfter(pause);
}

// The store may be away, or turn this node alone away; or this node is cut off from it and
// not from the others. Whoever is told tells on, so that all hear of it without the store, too.
void poison_share::tellPeers()
{
    std::vector<const member*> others;
    for (const auto& each : *m_members) {
        if (each.id != m_selfId && each.reachable && !each.operatorAddress.empty()) {
            others.push_back(&each);
        }
    }
    auto document = owed();
    for (std::size_t i = 0; i < peersTold && i < others.size(); ++i) {
        std::swap(others[i], others[i + m_hooks.chance(others.size() - i)]);
        ++m_peersTold;
        m_peers.call(others[i]->operatorAddress, poisonToldMethod, document, peerTimeout, [](const operator_result&) {});
    }
}

Json::Value poison_share::owed() const
{
    return toJson(poison_document { m_ledger.version(), m_ledger.unshared(m_hooks.wallNow()) });
}

void poison_share::told(const Json::Value& document)
{
    auto told = parsePoisonDocument(document);
    if (!told) {
        return;
    }
    for (auto& record : told->records) {
        record.version = 0;
    }
    if (m_ledger.merge(told->records, m_hooks.wallNow())) {
        m_roundsLeft = tellingRounds;
    }
    save();
}

void poison_share::saveAfter(milliseconds pause)
{
    auto spread = m_hooks.chance(static_cast<std::uint64_t>(pause.count()));
    later(pause + milliseconds(spread), [this] {
        m_saving = false;
        save();
    });
}

void poison_share::later(milliseconds pause, std::function<void()> step)
{
    m_saveTimer.expires_after(pause);
    m_saveTimer.async_wait([step = std::move(step)](boost::system::error_code error) {
        if (!error) {
            step();
        }
    });
}

Json::Value poison_share::newsSince(std::int64_t version) const
{
    return toJson(poison_document { m_ledger.version(), m_ledger.since(version, m_hooks.wallNow()) });
}

Json::Value poison_share::dump() const
{
    auto state = m_watched.dump();
    state["contents"] = Json::UInt64(m_ledger.size());
    state["poison"] = Json::UInt64(poisonCount());
    state["writes"] = Json::UInt64(m_writes);
    state["writes_failed"] = Json::UInt64(m_writesFailed);
    state["peers_told"] = Json::UInt64(m_peersTold);
    return state;
}

}
