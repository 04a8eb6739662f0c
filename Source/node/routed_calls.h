#pragma once

#include "call/call_observation.h"
#include "http/http_server.h"
#include "node/routed_entry.h"
#include "node/routed_target.h"
#include "node/server_runs.h"
#include "peer/peer_client.h"
#include "peer/peer_server.h"
#include "settings/node_settings.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

namespace vanillashunt {

struct routed_call_hooks {
    std::function<std::uint64_t()> random;
    // A call begins, so that deadlines are to be looked at often.
    std::function<void()> begins;
    // Whether anything came back from a member.
    std::function<void(std::uint64_t memberId, bool answered)> ended;
    // The server beside this node is another one than was meant.
    std::function<void(const server_start&)> misdirected;
    // That server told a load that cannot be read.
    std::function<void(const server_start&)> loadUnreadable;
    // That server has ended while it had requests.
    std::function<void(const server_end&)> serverEnded;
    // What servers' ends say of the content.
    std::function<poison_status(request_fingerprint)> standingOf;
    // That server has served a request of the content.
    std::function<void(request_fingerprint)> contentServed;
    // As those of the entry.
    std::function<std::uint64_t(const quota_request&, quota_handler, std::chrono::steady_clock::time_point now)> takeQuota;
    std::function<void(std::uint64_t quotaWait)> cancelQuota;
    std::function<void(const std::string& organisation, std::chrono::steady_clock::time_point now)> giveBackQuota;
    call_observer observed;
};

// The calls of one node: joins the entry, the target, the peers and the server
// beside it, so that an attempt at the own server takes no way over the network.
class routed_calls {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // The settings have their section for routes. The time is the start of the process.
    routed_calls(boost::asio::io_context&, const node_settings&, std::uint64_t selfId, time_point started, routed_call_hooks);

    // A request of a client, or of the own server.
    void requestArrived(http_request, const std::shared_ptr<http_exchange>&);

    // A call that another node sends to the server beside this one.
    void peerCallArrived(call_request, const std::shared_ptr<peer_exchange>&);

    void tick(time_point now);

    bool idle() const { return m_entry.inProgress() == 0 && m_target.inProgress() == 0; }

    // Whether tick() is to be called often.
    bool isBusy() const { return !idle() || m_target.doubtsServer(); }

    routed_entry& entry() { return m_entry; }
    const routed_entry& entry() const { return m_entry; }
    routed_target& target() { return m_target; }
    const routed_target& target() const { return m_target; }
    const peer_client_counts& peerCounts() const { return m_peers.counts(); }
    const instance_client_counts& serverCounts() const { return m_runs.counts(); }

private:
    // An attempt on its way: to the server beside this node, or to a peer.
    struct attempt_path {
        bool local = false;
        std::uint64_t id = 0;
    };

    entry_hooks entryHooks();
    target_hooks targetHooks();
    server_run_hooks runHooks();
    void sendAttempt(std::uint64_t attemptId, const member&, const call_request&);
    void cancelAttempt(std::uint64_t attemptId);
    void attemptAnswered(std::uint64_t attemptId, call_answer);

    std::uint64_t m_selfId;
    routed_call_hooks m_hooks;
    peer_client m_peers;
    server_runs m_runs;
    routed_target m_target;
    routed_entry m_entry;
    std::unordered_map<std::uint64_t, attempt_path> m_paths;
};

}
