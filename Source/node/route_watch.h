#pragma once

#include "node/watched_document.h"
#include "routes/route_configuration.h"

#include <cstdint>
#include <functional>
#include <string>

namespace vanillashunt {

struct route_watch_hooks {
    // Called with each newer version; versions never decrease.
    std::function<void(route_snapshot)> changed;
    // Returns a random number below its argument.
    std::function<std::uint64_t(std::uint64_t bound)> randomBelow;
    // Called when the store answers again after failed calls.
    std::function<void()> storeRecovered;
    // Called when this node reads the routes itself again and no other node tells it anything.
    std::function<void()> readWhileCutOff;
};

// Keeps the newest version of the operator's routes that this node has seen.
class route_watch {
public:
    // The store and the RPC client have to outlive the watch.
    route_watch(boost::asio::io_context&, key_value_store&, peer_rpc&, std::uint64_t selfId, std::string availabilityZone, route_watch_hooks);

    void start() { m_watched.start(); }
    void setMembers(const member_list& members) { m_watched.setMembers(members); }

    // Called when the store was restored from an earlier copy.
    void storeReturned() { m_watched.storeReturned(); }

    // Called when a member announces the version that it has, and how long ago the store confirmed it.
    void peerVersion(const member& peer, std::int64_t version, const std::optional<std::chrono::milliseconds>& age) { m_watched.peerVersion(peer, version, age); }

    // Time since the store confirmed the version here, to this node or to one that told it.
    std::optional<std::chrono::milliseconds> age() const { return m_watched.age(); }

    // 0 while no version is known.
    std::int64_t version() const { return m_version; }

    // The current version, with its document if the peer's version is older.
    Json::Value changesSince(std::int64_t version) const;

    Json::Value dump() const;

private:
    watched_document_hooks watchedHooks();
    void apply(const std::string& document);

    route_watch_hooks m_hooks;
    std::int64_t m_version = 0;
    std::string m_document;
    // Number of versions that could not be parsed.
    std::uint64_t m_unreadable = 0;
    watched_document m_watched;
};

}
