#pragma once

#include "node/watched_document.h"
#include "routes/route_configuration.h"

#include <cstdint>
#include <functional>
#include <string>

namespace vanillashunt {

struct route_watch_hooks {
    // Called with each newer version; versions only ever rise.
    std::function<void(route_snapshot)> changed;
    // Returns a random number below its argument.
    std::function<std::uint64_t(std::uint64_t bound)> chance;
    // The store answers again after a time without.
    std::function<void()> storeBack;
};

// Keeps the newest version of the operator's routes that this node has seen.
class route_watch {
public:
    // The store and the client outlive the watch.
    route_watch(boost::asio::io_context&, key_value_store&, peer_rpc&, std::uint64_t selfId, std::string availabilityZone, route_watch_hooks);

    void start() { m_watched.start(); }
    void setMembers(const member_list& members) { m_watched.setMembers(members); }

    void storeReturned() { m_watched.storeReturned(); }

    // A member told the version that it has.
    void peerVersion(const member& peer, std::int64_t version) { m_watched.peerVersion(peer, version); }

    // 0 while none is known.
    std::int64_t version() const { return m_version; }

    // The document of the version in force, for a peer that has an older one.
    Json::Value newsSince(std::int64_t version) const;

    Json::Value dump() const;

private:
    watched_document_hooks watchedHooks();
    void take(const std::string& document);

    route_watch_hooks m_hooks;
    std::int64_t m_version = 0;
    std::string m_document;
    std::uint64_t m_unreadable = 0;
    watched_document m_watched;
};

}
