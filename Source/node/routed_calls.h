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
    // A call arrived: tick() has to be called often from now on.
    std::function<void()> callArrived;
    // An attempt ended; tells whether the member sent any response.
    std::function<void(std::uint64_t memberId, bool answered)> attemptEnded;
    // The local backend server says that it is not this start.
    std::function<void(const server_start&)> misdirected;
    // The local backend server reported a load that cannot be parsed.
    std::function<void(const server_start&)> loadUnreadable;
    // An answer of the local backend server was cut off because of its size.
    std::function<void(const server_start&)> answerCutOff;
    // What the local backend server announces in its answers has changed, or is unreadable.
    std::function<void(const server_start&, const server_notice&)> noticeChanged;
    std::function<void(const server_start&)> noticeUnreadable;
    // The local backend server terminated while it had requests.
    std::function<void(const server_end&)> serverEnded;
    // As in entry_hooks.
    std::function<poison_status(request_fingerprint)> standingOf;
    // The local backend server answered a request of this content.
    std::function<void(request_fingerprint)> contentServed;
    // As in entry_hooks.
    std::function<std::uint64_t(const quota_request&, quota_handler, std::chrono::steady_clock::time_point now)> takeQuota;
    std::function<void(std::uint64_t quotaWaitId)> cancelQuota;
    std::function<void(const std::string& organisation, std::chrono::steady_clock::time_point now)> giveBackQuota;
    call_observer observed;
};

// Handles all calls of one node: connects its entry, its target, the client for peers and
// the client for the local backend server. An attempt at the local backend server bypasses
// the network.
class routed_calls {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // The settings must have a section for routes. The budget limits the bytes of all messages of the node. `started` is the start of the process.
    routed_calls(boost::asio::io_context&, const node_settings&, const std::shared_ptr<byte_budget>&, std::uint64_t selfId, time_point started, routed_call_hooks);

    // A request from a client or from the local backend server.
    void requestArrived(http_request, const std::shared_ptr<http_exchange>&);

    // A call from another node for the local backend server.
    void peerCallArrived(call_request, const std::shared_ptr<peer_exchange>&);

    void tick(time_point now);

    bool idle() const { return m_entry.inProgress() == 0 && m_target.inProgress() == 0; }

    // Whether tick() has to be called often.
    bool isBusy() const { return !idle() || m_target.isServerInDoubt(); }

    routed_entry& entry() { return m_entry; }
    const routed_entry& entry() const { return m_entry; }
    routed_target& target() { return m_target; }
    const routed_target& target() const { return m_target; }
    const peer_client_counts& peerCounts() const { return m_peers.counts(); }
    const instance_client_counts& serverCounts() const { return m_runs.counts(); }

private:
    // Where an attempt was sent: to the local backend server or to a peer. The id cancels it there.
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
