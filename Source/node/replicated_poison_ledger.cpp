#include "node/replicated_poison_ledger.h"

#include "events/event_catalogue.h"
#include "http/json_text.h"
#include "operator/operator_port.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    using std::chrono::milliseconds;

    constexpr const char* documentKey = "/vanillashunt/poison";
    // A slow store answers within 0.2 s. Peers are notified only after a store that does not answer
    // has run into this timeout.
    constexpr milliseconds callTimeout { 500 };

    // Delay before a rejected write is retried; it conflicted with another node's write or with a
    // missing document. Retries are fast since several servers may terminate at once, and since a
    // node has only `stable_window_s`, 3 s, to share its records after an outage.
    constexpr milliseconds conflictRetryDelay { 20 };

    // How long the zone writer waits for records from other nodes about the same failure. They
    // arrive within 30 ms plus one iteration of the senders' event loops.
    constexpr milliseconds batchDelay { 100 };
    // How long an observer waits before it writes the records that the zone writer has not written.
    // Covers the writer's batching, some write conflicts and the announcement of the new version.
    constexpr milliseconds zoneWriterDelay { 700 };
    constexpr milliseconds zoneWriterTimeout { 300 };

    constexpr milliseconds initialRetryDelay { 100 };
    constexpr std::uint32_t maxDoublings = 4;

    // Number of peers that a node sends its records to in each round while it cannot reach the
    // store, and number of rounds in which a receiver forwards them. Each receiver thus sends 12
    // times, more than the logarithm of 6,700 nodes, so that almost every node is reached.
    constexpr std::size_t peersPerRound = 3;
    constexpr std::uint32_t forwardRounds = 4;
    constexpr milliseconds peerTimeout { 1000 };

    watched_document_options watchOptions()
    {
        watched_document_options options;
        options.key = documentKey;
        options.peerMethod = poisonSinceMethod;
        options.readOnEveryNode = false;
        // Nodes are ready within two seconds of their start and have to recognise poison requests
        // one second later.
        options.firstCallDelay = milliseconds(1200);
        // Costs a third of the store calls of the routes. Gossip announces nearly every change, and
        // a change that a disconnected zone missed during an unanswered wait is read when the route
        // watch reaches the store again.
        options.minWait = milliseconds(8000);
        options.waitJitter = milliseconds(4000);
        return options;
    }

}

replicated_poison_ledger::replicated_poison_ledger(boost::asio::io_context& context, key_value_store& store, peer_rpc& peers, std::uint64_t selfId, std::string availabilityZone, replicated_poison_ledger_hooks hooks)
    : m_store(store)
    , m_peers(peers)
    , m_selfId(selfId)
    , m_hooks(std::move(hooks))
    , m_members(std::make_shared<std::vector<member>>())
    , m_saveTimer(context)
    , m_watched(context, store, peers, selfId, std::move(availabilityZone), watchOptions(), watchedHooks())
{
}

watched_document_hooks replicated_poison_ledger::watchedHooks()
{
    watched_document_hooks hooks;
    hooks.version = [this] { return m_ledger.version(); };
    hooks.readFromStore = [this](const store_entry& entry) { mergeStored(entry); };
    hooks.fetchedFromPeer = [this](const Json::Value& changes) {
        if (auto document = parsePoisonDocument(changes)) {
            merge(*document);
        }
    };
    hooks.randomBelow = m_hooks.randomBelow;
    // The route watch already logs the failure and the recovery of the store.
    hooks.storeFailed = [](const std::string&) {};
    hooks.storeRecovered = [](milliseconds) {};
    return hooks;
}

void replicated_poison_ledger::setMembers(const member_list& members)
{
    m_members = members;
    m_watched.setMembers(members);
}

void replicated_poison_ledger::serverEnded(const server_end& end)
{
    m_ledger.serverEnded(hashOf(end.start), end.running, m_hooks.wallNow());
    m_hasUnsavedObservations = true;
    save();
}

void replicated_poison_ledger::served(request_fingerprint content)
{
    if (m_ledger.served(content)) {
        m_hasUnsavedObservations = true;
        save();
    }
}

void replicated_poison_ledger::storeRecovered()
{
    m_watched.readAgain();
    save();
}

void replicated_poison_ledger::storeReturned()
{
    m_revision.reset();
    m_ledger.reconcileWithStored({});
    m_watched.storeReturned();
    save();
}

void replicated_poison_ledger::merge(const poison_document& document)
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

void replicated_poison_ledger::mergeStored(const store_entry& entry)
{
    m_revision = std::max(m_revision.value_or(0), entry.modRevision);
    if (auto document = parsePoisonDocument(entry.value)) {
        bool isOlder = document->version <= m_ledger.version();
        if (isOlder && entry.modRevision == m_revision) {
            m_ledger.reconcileWithStored(document->records);
        }
        merge(*document);
    } else {
        logEvent(events::poisonUnreadable, { { "bytes", std::to_string(entry.value.size()) } });
    }
}

void replicated_poison_ledger::save()
{
    if (m_saving) {
        return;
    }
    if (!m_ledger.hasUnshared(m_hooks.wallNow())) {
        m_hasUnsavedObservations = false;
        m_failuresInARow = 0;
        return;
    }
    if (isZoneWriter()) {
        m_saving = true;
        runAfter(batchDelay, [this] { readAndWrite(); });
    } else if (m_hasUnsavedObservations) {
        m_saving = true;
        sendToZoneWriter();
    } else if (m_forwardRoundsLeft > 0) {
        m_saving = true;
        --m_forwardRoundsLeft;
        sendToPeers();
        saveAfter(initialRetryDelay);
    }
}

// Several servers often terminate together, because of a rack failure or a poison request. If each
// observer wrote its own records, the writes would conflict: after 24 of 195 nodes lost their
// servers at once, all nodes made 2,666 store calls within half a minute, compared to 1,406 with one
// writer for each zone.
void replicated_poison_ledger::sendToZoneWriter()
{
    auto writer = m_watched.firstWatcher();
    auto found = std::find_if(m_members->begin(), m_members->end(), [writer](const member& candidate) { return candidate.id == writer; });
    if (found == m_members->end() || found->operatorAddress.empty()) {
        readAndWrite();
        return;
    }
    m_peers.call(found->operatorAddress, poisonToldMethod, unsharedDocument(), zoneWriterTimeout, [this](const operator_result& result) {
        if (std::holds_alternative<Json::Value>(result)) {
            runAfter(zoneWriterDelay, [this] { readAndWrite(); });
        } else {
            readAndWrite();
        }
    });
}

// A write succeeds only if the document has not changed since it was read. Retries until the
// document contains all records of this node, no matter which node wrote them.
void replicated_poison_ledger::readAndWrite()
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
            mergeStored(range->entries.front());
        }
        write();
    });
}

void replicated_poison_ledger::write()
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
            writeConflicted(*swap);
        } else {
            m_revision = std::max(m_revision.value_or(0), swap->revision);
            m_saving = false;
            merge(document);
        }
    });
}

// Another node has written the document. The rejection contains the current entry, if there is one,
// so it need not be read again.
void replicated_poison_ledger::writeConflicted(const store_swap& swap)
{
    m_revision.reset();
    if (!swap.standing.empty()) {
        mergeStored(swap.standing.front());
    }
    saveAfter(conflictRetryDelay);
}

void replicated_poison_ledger::saveFailed()
{
    sendToPeers();
    auto delay = initialRetryDelay * (1 << std::min(m_failuresInARow, maxDoublings));
    ++m_failuresInARow;
    saveAfter(delay);
}

// The store may be unavailable, may reject only this node, or may be unreachable only from this
// node. The receivers forward the records, so that they reach all nodes without the store.
void replicated_poison_ledger::sendToPeers()
{
    std::vector<const member*> peers;
    for (const auto& peer : *m_members) {
        if (peer.id != m_selfId && peer.reachable && !peer.operatorAddress.empty()) {
            peers.push_back(&peer);
        }
    }
    auto document = unsharedDocument();
    for (std::size_t i = 0; i < peersPerRound && i < peers.size(); ++i) {
        std::swap(peers[i], peers[i + m_hooks.randomBelow(peers.size() - i)]);
        ++m_peersNotified;
        m_peers.call(peers[i]->operatorAddress, poisonToldMethod, document, peerTimeout, [](const operator_result&) {});
    }
}

Json::Value replicated_poison_ledger::unsharedDocument() const
{
    return toJson(poison_document { m_ledger.version(), m_ledger.unshared(m_hooks.wallNow()) });
}

void replicated_poison_ledger::mergeFromPeer(const Json::Value& document)
{
    auto received = parsePoisonDocument(document);
    if (!received) {
        return;
    }
    for (auto& record : received->records) {
        record.version = 0;
    }
    if (m_ledger.merge(received->records, m_hooks.wallNow())) {
        m_forwardRoundsLeft = forwardRounds;
    }
    save();
}

void replicated_poison_ledger::saveAfter(milliseconds delay)
{
    auto jitter = m_hooks.randomBelow(static_cast<std::uint64_t>(delay.count()));
    runAfter(delay + milliseconds(jitter), [this] {
        m_saving = false;
        save();
    });
}

void replicated_poison_ledger::runAfter(milliseconds delay, std::function<void()> action)
{
    m_saveTimer.expires_after(delay);
    m_saveTimer.async_wait([action = std::move(action)](boost::system::error_code error) {
        if (!error) {
            action();
        }
    });
}

Json::Value replicated_poison_ledger::changesSince(std::int64_t version) const
{
    return toJson(poison_document { m_ledger.version(), m_ledger.since(version, m_hooks.wallNow()) });
}

Json::Value replicated_poison_ledger::dump() const
{
    auto state = m_watched.dump();
    state["contents"] = Json::UInt64(m_ledger.size());
    state["poison"] = Json::UInt64(poisonCount());
    state["writes"] = Json::UInt64(m_writes);
    state["writes_failed"] = Json::UInt64(m_writesFailed);
    state["peers_told"] = Json::UInt64(m_peersNotified);
    return state;
}

}
