#pragma once

#include "admission/admission_gate.h"
#include "backend/server_end_detector.h"
#include "backend/server_notices.h"
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
    // Sends the request to the backend server, with the deadline by which it has to finish.
    std::function<void(std::uint64_t runId, const server_report&, const call_request&, std::chrono::steady_clock::time_point deadline)> run;
    std::function<void(std::uint64_t runId)> cancelRun;
    // The backend server restarted: idle connections to it are no longer usable.
    std::function<void()> serverRestarted;
    // Checks whether the backend server is still running; the result goes to serverChecked().
    std::function<void()> checkServer;
    // The backend server terminated while it had requests.
    std::function<void(const server_end&)> serverEnded;
    // How requests of this content are treated, depending on how many servers terminated while
    // running them. Without the hook every content is harmless.
    std::function<poison_status(request_fingerprint)> standingOf;
    // The backend server answered a request of this content. Server errors don't count: a server
    // that gives up at the deadline might have been terminated by the request a moment later.
    std::function<void(request_fingerprint)> contentServed;
    // What a start of the backend server announces has changed.
    std::function<void(const server_start&, const server_notice&)> noticeChanged;
    std::function<std::uint64_t()> random;
    call_observer observed;
};

using call_replier = std::function<void(const call_answer&)>;

// The run at the local backend server that makes an onward call, that is, a call on behalf of
// the request that it runs.
struct parent_run {
    std::uint64_t runId = 0;
    request_context context;
};

// A call running at the local backend server.
struct run_in_progress {
    std::string requestId;
    std::string requestClass;
    std::string instanceId;
    std::chrono::microseconds elapsed { 0 };
};

// The result of an onward call of the local backend server.
struct onward_report {
    std::string service;
    // The highest cut at the called service and those below it, and what the call used of the
    // service that has this cut.
    shedding_position cut = 0;
    bottleneck_cost cost {};
    // Calls to another availability zone: this one, if it is such a call, and those below it.
    std::uint32_t zoneCrossings = 0;
};

// Admits calls to the local backend server and follows them until they are answered. Every
// request to that server passes through this class, so a call that it reports as not run
// has not run and never will.
class routed_target {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // With balanceByPace, calls that can run at another target are refused while the backend
    // server reports that it is slow.
    explicit routed_target(target_hooks, bool balanceByPace = true);

    // Sets the current backend server and whether it takes new work. If it is a later start of
    // the same instance, the runs of the previous start are answered as lost.
    void setServer(const std::optional<server_report>&, bool takesWork, time_point now);

    // The node stops: no further call is started.
    void setStopping(time_point now);

    // Returns the id to pass to cancel(). The replier is called exactly once unless the call is
    // cancelled, possibly before arrive() returns.
    std::uint64_t arrive(call_request, call_replier, time_point now);

    // The sender no longer waits for the call.
    void cancel(std::uint64_t arrivalId, time_point now);

    void serverAnswered(std::uint64_t runId, const call_answer&, time_point now);

    // This start of the backend server reported its load; ignored if it is not the current one.
    void serverReportedLoad(const server_start&, const server_load&, time_point now);

    // An answer of this start of the backend server carried the notice.
    void noticeReceived(const server_start&, const received_notice&, time_point now);

    // The result of the check that target_hooks::checkServer started.
    void serverChecked(server_presence, time_point now);

    void tick(time_point now);

    // Finds the run that made a call: the run of the request named parentId or, if that is
    // empty, the run that has this deadline. Returns nothing if no run here made the call.
    std::optional<parent_run> findParent(const std::string& parentId, time_point deadline) const;

    // An onward call of the run ended. Ignored for a run that is not in progress.
    void recordOnwardCall(std::uint64_t runId, const onward_report&);

    std::size_t inProgress() const { return m_arrivals.size(); }
    // Calls running at the backend server, no more than maxCount, in no particular order.
    std::vector<run_in_progress> runsInProgress(time_point now, std::size_t maxCount) const;
    // Whether lost answers make it doubtful that the backend server is still running.
    bool isServerInDoubt() const { return m_lostRuns.inDoubt(); }
    const admission_gate& gate() const { return m_gate; }
    const server_pace& pace() const { return m_pace; }
    // What the current start of the backend server has announced.
    server_notice notice() const { return m_server ? m_notices.current(m_server->start) : server_notice {}; }

private:
    // The cuts that a run's onward calls met at the servers of one service. The mean is used,
    // because servers differ and a request is judged by the service rather than by its worst
    // server.
    struct service_cut {
        std::string service;
        std::uint64_t sum = 0;
        std::uint32_t calls = 0;
        // The sum over these calls.
        bottleneck_cost cost {};

        shedding_position mean() const { return static_cast<shedding_position>(sum / calls); }
    };

    struct arrival {
        call_request request;
        call_replier replier;
        bool running = false;
        // If running: the start of the backend server that runs the call.
        server_start server {};
        time_point started {};
        std::vector<service_cut> onwardCuts {};
        std::uint32_t zoneCrossings = 0;
    };

    bool acceptsWork() const { return m_takesWork && !notice().isLeaving; }
    void noticeChanged(const server_start&, time_point now);
    void relayedNoticeReceived(const relayed_notice&, time_point now);
    void endRuns(time_point now);
    void reportServerEnd(std::optional<server_end>);
    void recordServiceTime(const arrival&, time_point now);
    void recordServed(const call_request&);
    std::optional<verdict> refusalBeforeGate(const call_request&) const;
    void start(std::uint64_t arrivalId, time_point now);
    poison_status standingOf(const call_request&) const;
    bool isBetterElsewhere(time_point now);
    bool isInProgress(request_fingerprint) const;
    std::optional<verdict> refusalOfContent(const call_request&) const;
    void refuse(std::uint64_t arrivalId, const verdict&, time_point now);
    void reply(const arrival&, call_answer, time_point now);
    std::optional<relayed_notice> relayedNotice(time_point now) const;
    static const service_cut* highestMean(const std::vector<service_cut>&);
    void startReleased(time_point now);
    void forgetRun(std::uint64_t runId, const arrival&);

    target_hooks m_hooks;
    bool m_balanceByPace;
    admission_gate m_gate;
    server_pace m_pace;
    // When the backend server has warmed up and runs at its usual speed.
    time_point m_warmupEnd;
    std::optional<server_report> m_server;
    bool m_takesWork = false;
    server_notices m_notices;
    // Identifies this process in the notices that it relays.
    std::uint64_t m_observer;
    bool m_stopping = false;
    std::unordered_map<std::uint64_t, arrival> m_arrivals;
    run_deadlines m_deadlines;
    server_end_detector m_lostRuns;
    recent_contents m_servedContents;
    // Id of the run, by request id.
    std::unordered_map<std::string, std::uint64_t> m_runOfRequest;
};

}
