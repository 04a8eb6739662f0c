#pragma once

#include "admission/admission_gate.h"
#include "backend/lost_runs.h"
#include "backend/server_tracker.h"
#include "call/call_answer.h"
#include "call/call_observation.h"
#include "call/call_request.h"
#include "decision/poison_ledger.h"
#include "decision/recent_contents.h"
#include "decision/run_deadlines.h"
#include "routing/server_pace.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>

namespace vanillashunt {

struct target_hooks {
    // Sends the request to the server, which is to stop at the deadline.
    std::function<void(std::uint64_t runId, const server_report&, const call_request&, std::chrono::steady_clock::time_point deadline)> run;
    std::function<void(std::uint64_t runId)> cancelRun;
    // The server has started again: connections that are kept to it are over.
    std::function<void()> serverStartedAgain;
    // Asks whether the server is there; the answer comes back by serverAsked().
    std::function<void()> askServer;
    // The server has ended while it had requests.
    std::function<void(const server_end&)> serverEnded;
    // What servers' ends say of the content; without the hook every one is harmless.
    std::function<poison_status(request_fingerprint)> standingOf;
    // The server has served a request of the content. Its own failures don't count: it may give
    // up at the deadline what would have ended it a moment later.
    std::function<void(request_fingerprint)> contentServed;
    std::function<std::uint64_t()> random;
    call_observer observed;
};

using call_replier = std::function<void(const call_answer&)>;

// A call that the own server makes while it runs another.
struct parent_run {
    std::uint64_t runId = 0;
    request_context context;
};

// A call running at the own server.
struct run_in_progress {
    std::string requestId;
    std::string requestClass;
    std::string instanceId;
    std::chrono::microseconds elapsed { 0 };
};

// What came back from a call that the own server made.
struct onward_report {
    std::string service;
    // The cut that the call has met there or below, and what it took of that service.
    shedding_position cut = 0;
    bottleneck_cost cost {};
    // The call itself, if it went to another availability zone, and those below it.
    std::uint32_t zoneCrossings = 0;
};

// The calls that are to run at the server beside this node. Everything that
// reaches the server passes here, so that what is said here of a call, that it
// has not run and never will, is certain.
class routed_target {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // Whether what the server tells of its speed counts: calls then go elsewhere while it is slow.
    explicit routed_target(target_hooks, bool balanceByPace = true);

    // The server that is there now, and whether it takes new work. Where the same one has
    // started again, its runs are over, and are answered as such.
    void setServer(const std::optional<server_report>&, bool takesWork, time_point now);

    // The node itself leaves: nothing new is begun.
    void setStopping(time_point now);

    // Returns the id by which the call may be cancelled.
    std::uint64_t arrive(call_request, call_replier, time_point now);

    // Whoever sent the call does not want it any more.
    void cancel(std::uint64_t arrivalId, time_point now);

    void serverAnswered(std::uint64_t runId, const call_answer&, time_point now);

    // That start of the server told its load.
    void serverTold(const server_start&, const server_load&, time_point now);

    // Whether the server is there, which some lost answers had put in doubt.
    void serverAsked(server_presence, time_point now);

    void tick(time_point now);

    // The run that made a call: the one of that request, or, where the call names
    // none, the one that ends with it. Nothing for a request of anyone else.
    std::optional<parent_run> findParent(const std::string& parentId, time_point deadline) const;

    // A call that the run made has ended.
    void learnOnward(std::uint64_t runId, const onward_report&);

    std::size_t inProgress() const { return m_arrivals.size(); }
    // The calls running at the server, at most the given number of them, in no particular order.
    std::vector<run_in_progress> runsInProgress(time_point now, std::size_t most) const;
    // Whether lost answers have put in doubt that the server is there.
    bool doubtsServer() const { return m_lostRuns.inDoubt(); }
    const admission_gate& gate() const { return m_gate; }
    const server_pace& pace() const { return m_pace; }

private:
    // The cuts that a run's own calls have met at the servers of one service. The
    // servers differ, and a request is to be judged by the service and not by its
    // worst server: the mean counts.
    struct met_cut {
        std::string service;
        std::uint64_t sum = 0;
        std::uint32_t calls = 0;
        // Of all of them together.
        bottleneck_cost cost {};

        shedding_position mean() const { return static_cast<shedding_position>(sum / calls); }
    };

    struct arrival {
        call_request request;
        call_replier replier;
        bool running = false;
        // With a run: the start of the server that has it.
        server_start server {};
        time_point started {};
        std::vector<met_cut> onwardCuts {};
        std::uint32_t zoneCrossings = 0;
    };

    void endRuns(time_point now);
    void noteServerEnd(std::optional<server_end>);
    void notePace(const arrival&, time_point now);
    void noteServed(const call_request&);
    std::optional<verdict> refusalBeforeGate(const call_request&) const;
    void start(std::uint64_t arrivalId, time_point now);
    poison_status standingOf(const call_request&) const;
    bool isBetterElsewhere(time_point now);
    bool isInProgress(request_fingerprint) const;
    std::optional<verdict> refusalOfContent(const call_request&) const;
    void refuse(std::uint64_t arrivalId, const verdict&, time_point now);
    void reply(const arrival&, call_answer, time_point now) const;
    static const met_cut* highest(const std::vector<met_cut>&);
    void startReleased(time_point now);
    void forgetRun(std::uint64_t runId, const arrival&);

    target_hooks m_hooks;
    bool m_balanceByPace;
    admission_gate m_gate;
    server_pace m_pace;
    // From when the server is at its usual speed.
    time_point m_warmFrom;
    std::optional<server_report> m_server;
    bool m_takesWork = false;
    bool m_stopping = false;
    std::unordered_map<std::uint64_t, arrival> m_arrivals;
    run_deadlines m_deadlines;
    lost_runs m_lostRuns;
    recent_contents m_served;
    // By the request's id.
    std::unordered_map<std::string, std::uint64_t> m_runOfRequest;
};

}
