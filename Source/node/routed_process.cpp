#include "node/routed_process.h"

#include "caller/pipeline_server.h"
#include "events/event_catalogue.h"
#include "events/event_limiter.h"
#include "node/client_connection_log.h"
#include "node/membership_service.h"
#include "node/message_memory.h"
#include "node/quota_service.h"
#include "node/replicated_poison_ledger.h"
#include "node/route_watch.h"
#include "node/routed_calls.h"
#include "node/routed_dump.h"
#include "node/routed_stop.h"
#include "node/server_notice_log.h"
#include "node/server_reports.h"
#include "node/settings_watch.h"
#include "operator/call_log.h"
#include "operator/node_metrics.h"
#include "operator/operator_port.h"
#include "operator/operator_state.h"
#include "operator/request_journal.h"
#include "platform/health_answer.h"
#include "platform/request_headers.h"

#include <boost/asio.hpp>
#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>

#include <algorithm>
#include <cmath>
#include <csignal>
#include <random>

namespace vanillashunt {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

    constexpr int exitCannotListen = 2;
    constexpr unsigned statusOk = 200;
    constexpr unsigned statusUnavailable = 503;

    // How often deadlines and queues are checked, with and without calls in progress. Each wake-up
    // costs processor time, and a delay of 10 ms past a deadline is harmless.
    constexpr std::chrono::milliseconds busyTickPeriod { 10 };
    constexpr std::chrono::milliseconds idleTickPeriod { 100 };
    constexpr std::chrono::milliseconds sessionCheckPeriod { 250 };
    constexpr std::chrono::milliseconds loadLogPeriod { 1000 };
    constexpr std::chrono::milliseconds slotAnnouncementPeriod { 1000 };

    // Number of decisions kept for the command explain; they take a few megabytes.
    constexpr std::size_t journalCapacity = 8192;

    // Delay before the exit, to send the last answers and to announce the departure to other nodes.
    constexpr std::chrono::milliseconds exitDelay { 100 };

    // The backend server is local and answers at once unless it is full; without an answer it is
    // used unverified.
    constexpr std::chrono::milliseconds healthProbeTimeout { 300 };

    // Limits the log lines for runs cut off at the end of a stop.
    constexpr std::size_t maxRunsLogged = 40;
    constexpr std::uint32_t maxCutOffLines = 4;
    constexpr std::chrono::seconds cutOffLineInterval { 10 };

    // Messages of the store, of operators and of other nodes about documents: a value or a page of the
    // store has 1 MiB, and a third more as text.
    constexpr std::uint64_t maxControlBytes = 4ULL * 1024 * 1024;

    // A node that has found no other members by then may be the only one, and serves alone.
    constexpr std::chrono::milliseconds maxJoinTime { 2000 };

    class routed_process {
    public:
        routed_process(const node_settings&, settings_source);

        int run();

    private:
        void serverChanged();
        void probeHealth(const server_report&);
        bool isReady() const;
        std::uint32_t slotsToAnnounce() const;
        void tick();
        void scheduleTick();
        void startBusyTicks();
        void logLoad(std::chrono::steady_clock::time_point now);
        void announceSlots(std::chrono::steady_clock::time_point now);
        void awaitSignals();
        void refuseWork();
        void endRequests(const stop_progress&);
        void leave();
        void endActors();
        routed_call_hooks callHooks();
        routed_stop_hooks stopHooks();
        key_value_store_hooks storeHooks();
        route_watch_hooks routeHooks();
        replicated_poison_ledger_hooks poisonHooks();
        pipeline_server_hooks serverHooks();
        membership_hooks membershipHooks();
        server_report_hooks reportHooks();
        operator_hooks operatorHooks();
        routed_parts parts() const;
        void collectState(state_receiver);
        void collectMetrics(const std::function<void(std::string)>&);
        operator_reply explain(const std::string& requestId) const;
        void observe(const call_observation&);
        void recordUnreadableLoad(const server_start&);
        void recordUnreadableNotice(const server_start&);
        void logCutOffAnswer(const server_start&);
        void serverNoticeChanged(const server_start&, const server_notice&);

        node_settings m_settings;
        std::chrono::steady_clock::time_point m_started = std::chrono::steady_clock::now();
        std::mt19937_64 m_random { std::random_device {}() };
        std::shared_ptr<byte_budget> m_budget = makeMessageBudget(m_settings);
        asio::io_context m_context { 1 };
        caf::actor_system_config m_config;
        std::unique_ptr<caf::actor_system> m_system;
        std::unique_ptr<actor_host> m_host;
        key_value_store m_store;
        http_client m_controlClient;
        peer_rpc m_peerRpc { m_controlClient };
        server_reports m_serverReports { reportHooks(), m_started };
        std::unique_ptr<membership_service> m_membership;
        member m_self;
        routed_calls m_calls;
        route_watch m_routes;
        replicated_poison_ledger m_poison;
        std::unique_ptr<quota_service> m_quotas;
        client_connection_log m_connectionLog;
        std::unique_ptr<pipeline_server> m_clientServer;
        std::unique_ptr<http_server> m_reportServer;
        std::unique_ptr<http_server> m_readinessServer;
        std::unique_ptr<peer_server> m_peerServer;
        std::unique_ptr<operator_port> m_operatorPort;
        asio::steady_timer m_tickTimer { m_context };
        asio::steady_timer m_exitTimer { m_context };
        asio::signal_set m_signals { m_context, SIGTERM, SIGINT, SIGHUP };
        routed_stop m_stop;
        member_list m_members = std::make_shared<std::vector<member>>();
        bool m_busyTicks = false;
        std::chrono::steady_clock::time_point m_nextSessionCheck;
        std::chrono::steady_clock::time_point m_nextLoadLog;
        std::chrono::steady_clock::time_point m_nextSlotAnnouncement;
        settings_watch m_settingsWatch;
        node_metrics m_metrics { std::chrono::system_clock::now() };
        request_journal m_journal { journalCapacity };
        call_log m_callLog;
        std::uint64_t m_unreadableLoads = 0;
        // The start of the server whose unreadable load was logged last.
        server_start m_lastUnreadableLoadStart;
        std::uint64_t m_unreadableNotices = 0;
        server_start m_lastUnreadableNoticeStart;
        server_notice_log m_noticeLog;
        event_limiter m_cutOffLimiter { maxCutOffLines, cutOffLineInterval };
    };

    http_client_settings controlSettings(const node_settings& settings, const std::shared_ptr<byte_budget>& budget)
    {
        http_client_settings result;
        result.outgoingAddress = settings.outgoingAddress;
        result.maxBodyBytes = maxControlBytes;
        result.budget = budget;
        return result;
    }

    http_server_limits controlLimits(const std::shared_ptr<byte_budget>& budget)
    {
        http_server_limits limits;
        limits.budget = budget;
        return limits;
    }

    std::string firstEndpoint(const node_settings& settings)
    {
        return settings.platformEndpoints.empty() ? "" : settings.platformEndpoints.front();
    }

    quota_settings quotaSettings(const node_settings& settings, std::uint64_t selfId)
    {
        quota_settings result;
        result.selfId = selfId;
        result.availabilityZone = settings.availabilityZone;
        result.zones = std::max<std::size_t>(1, settings.routes->zones.size());
        result.tolerance = { settings.routes->quotaOver, settings.routes->quotaWindow, settings.routes->quotaSlack };
        return result;
    }

    routed_process::routed_process(const node_settings& settings, settings_source source)
        : m_settings(settings)
        , m_store(m_context, firstEndpoint(settings), controlSettings(settings, m_budget))
        , m_controlClient(m_context, controlSettings(settings, m_budget))
        , m_calls(m_context, settings, m_budget, m_self.id = m_random(), m_started, callHooks())
        , m_routes(m_context, m_store, m_peerRpc, m_self.id, settings.availabilityZone,
              routeHooks())
        , m_poison(m_context, m_store, m_peerRpc, m_self.id, settings.availabilityZone, poisonHooks())
        , m_stop(settings.routes->grace, stopHooks())
        , m_settingsWatch(std::move(source))
    {
        setLogLevel(settings.logLevel);
        // All actors run on the thread of the I/O context; CAF's own scheduler stays idle.
        m_config.set("scheduler.policy", caf::atom("sharing"));
        m_config.set("scheduler.max-threads", 1);
        m_system = std::make_unique<caf::actor_system>(m_config);
        m_host = std::make_unique<actor_host>(*m_system, m_context);
        m_store.setHooks(storeHooks());
        m_membership = std::make_unique<membership_service>(*m_host, m_context, m_store, settings.mesh, settings.joinAddresses, membershipHooks());
        m_clientServer = std::make_unique<pipeline_server>(m_context, settings.caller.listen, serverHooks());
        m_reportServer = std::make_unique<http_server>(m_context, settings.backend.listen, controlLimits(m_budget),
            [this](const http_request& request, const std::shared_ptr<http_exchange>& exchange) { exchange->respond(m_serverReports.handle(request, std::chrono::steady_clock::now())); });
        m_readinessServer = std::make_unique<http_server>(m_context, settings.routes->readyListen, controlLimits(m_budget),
            [this](const http_request&, const std::shared_ptr<http_exchange>& exchange) {
                exchange->respond({ isReady() ? statusOk : statusUnavailable, {}, {} });
            });
        m_peerServer = std::make_unique<peer_server>(
            m_context, settings.peer.listen, largestBody(settings, *m_budget),
            [this](call_request request, const std::shared_ptr<peer_exchange>& exchange) { m_calls.peerCallArrived(std::move(request), exchange); }, m_budget);
        m_operatorPort = std::make_unique<operator_port>(m_context, settings.operators.listen, operatorHooks());
        m_quotas = std::make_unique<quota_service>(
            m_context, m_operatorPort->address(), settings.mesh, quotaSettings(settings, m_self.id), [this](std::uint64_t bound) { return m_random() % bound; }, m_started);
        m_self.name = settings.name;
        m_self.availabilityZone = settings.availabilityZone;
        m_self.region = settings.region;
        m_self.address = m_peerServer->address();
        m_self.operatorAddress = m_operatorPort->address();
    }

    routed_call_hooks routed_process::callHooks()
    {
        routed_call_hooks hooks;
        hooks.random = [this] { return m_random(); };
        hooks.callArrived = [this] { startBusyTicks(); };
        hooks.attemptEnded = [this](std::uint64_t memberId, bool answered) { m_membership->callEnded(memberId, answered); };
        hooks.misdirected = [this](const server_start& start) { m_serverReports.misdirected(start); };
        hooks.loadUnreadable = [this](const server_start& start) { recordUnreadableLoad(start); };
        hooks.noticeChanged = [this](const server_start& start, const server_notice& notice) { serverNoticeChanged(start, notice); };
        hooks.answerCutOff = [this](const server_start& start) { logCutOffAnswer(start); };
        hooks.noticeUnreadable = [this](const server_start& start) { recordUnreadableNotice(start); };
        hooks.serverEnded = [this](const server_end& end) {
            logServerEnd(end);
            m_poison.serverEnded(end);
            m_serverReports.ended(end.start);
        };
        hooks.standingOf = [this](request_fingerprint content) { return m_poison.standingOf(content); };
        hooks.contentServed = [this](request_fingerprint content) { m_poison.served(content); };
        hooks.takeQuota = [this](const quota_request& request, quota_handler handler, std::chrono::steady_clock::time_point now) { return m_quotas->exchange().take(request, std::move(handler), now); };
        hooks.cancelQuota = [this](std::uint64_t quotaWait) { m_quotas->exchange().cancel(quotaWait); };
        hooks.giveBackQuota = [this](const std::string& organisation, std::chrono::steady_clock::time_point now) { m_quotas->exchange().giveBack(organisation, now); };
        hooks.observed = [this](const call_observation& observation) { observe(observation); };
        return hooks;
    }

    key_value_store_hooks routed_process::storeHooks()
    {
        key_value_store_hooks hooks;
        hooks.returned = [this](std::int64_t era, std::int64_t before) {
            logEvent(events::storeReturned, { { "era", std::to_string(era) }, { "before", std::to_string(before) } });
            m_routes.storeReturned();
            m_poison.storeReturned();
            m_membership->readSeedsSoon();
        };
        hooks.eraUnreadable = [](std::size_t bytes) { logEvent(events::storeEraUnreadable, { { "bytes", std::to_string(bytes) } }); };
        return hooks;
    }

    route_watch_hooks routed_process::routeHooks()
    {
        route_watch_hooks hooks;
        hooks.changed = [this](route_snapshot configuration) {
            logEvent(events::routesChanged, { { "version", std::to_string(configuration->version) }, { "routes", std::to_string(configuration->routes.size()) } });
            m_quotas->exchange().setConfiguration(*configuration, std::chrono::steady_clock::now());
            m_calls.entry().setConfiguration(std::move(configuration));
            m_membership->spreadSoon();
        };
        hooks.randomBelow = [this](std::uint64_t bound) { return m_random() % bound; };
        hooks.storeRecovered = [this] {
            m_poison.storeRecovered();
            m_membership->readSeedsSoon();
        };
        hooks.readWhileCutOff = [this] { m_poison.readStored(); };
        return hooks;
    }

    replicated_poison_ledger_hooks routed_process::poisonHooks()
    {
        replicated_poison_ledger_hooks hooks;
        hooks.changed = [this] { m_membership->spreadSoon(); };
        hooks.randomBelow = [this](std::uint64_t bound) { return m_random() % bound; };
        hooks.wallNow = [] { return std::chrono::system_clock::now(); };
        return hooks;
    }

    pipeline_server_hooks routed_process::serverHooks()
    {
        pipeline_server_hooks hooks;
        hooks.limits = [this] {
            auto limits = m_calls.entry().limits();
            limits.maxBodyBytes = std::min(limits.maxBodyBytes, largestBody(m_settings, *m_budget));
            return limits;
        };
        hooks.budget = m_budget;
        hooks.request = [this](http_request request, const std::shared_ptr<http_exchange>& exchange) { m_calls.requestArrived(std::move(request), exchange); };
        hooks.connectionFull = [this](std::size_t unanswered) { m_connectionLog.full(unanswered, std::chrono::steady_clock::now()); };
        hooks.connectionLost = [this](const connection_loss& loss) { m_connectionLog.lost(loss, std::chrono::steady_clock::now()); };
        return hooks;
    }

    membership_hooks routed_process::membershipHooks()
    {
        membership_hooks hooks;
        hooks.membersChanged = [this](const member_list& members) {
            m_members = members;
            m_routes.setMembers(members);
            m_poison.setMembers(members);
            m_quotas->exchange().setMembers(members, std::chrono::steady_clock::now());
            m_calls.entry().setMembers(members, std::chrono::steady_clock::now());
        };
        hooks.ownVersions = [this] { return document_versions { m_routes.version(), m_routes.age(), m_poison.version() }; };
        hooks.peerVersions = [this](const member& peer, const document_versions& versions) {
            m_routes.peerVersion(peer, versions.contracts, versions.contractsAge);
            m_poison.peerVersion(peer, versions.poison);
        };
        return hooks;
    }

    server_report_hooks routed_process::reportHooks()
    {
        server_report_hooks hooks;
        hooks.knowsService = [this](const std::string& service) { return service == m_settings.routes->service || m_calls.entry().knowsService(service); };
        hooks.changed = [this] { serverChanged(); };
        hooks.wallNow = [] { return std::chrono::system_clock::now(); };
        hooks.probeHealth = [this](const server_report& report) { probeHealth(report); };
        hooks.incarnation = [this] { return m_self.id; };
        return hooks;
    }

    void routed_process::probeHealth(const server_report& report)
    {
        auto path = m_calls.entry().healthPath(report.service);
        if (path.empty()) {
            m_serverReports.healthProbed(report.start, server_health::Unknown);
            return;
        }
        const auto& server = m_settings.routes->server;
        m_controlClient.send(server, { "GET", path, { { "Host", server } }, "" }, healthProbeTimeout, [this, start = report.start](const http_result& result) {
            const auto* response = std::get_if<http_response>(&result);
            auto health = response ? readHealthAnswer(*response, start.instanceId) : server_health::Unknown;
            if (health == server_health::Serving) {
                // It does not end a limit: a health check may not carry what other answers do.
                auto now = std::chrono::steady_clock::now();
                m_calls.target().noticeReceived(start, { readAnswerMarks(response->fields).notice, false, now, now }, now);
            }
            m_serverReports.healthProbed(start, health);
        });
    }

    // Passes the state of the local backend server to the target, and this node's service and slots to
    // the other nodes.
    void routed_process::serverChanged()
    {
        bool takesWork = m_serverReports.takesWork();
        m_calls.target().setServer(m_serverReports.current(), takesWork, std::chrono::steady_clock::now());
        bool offered = takesWork && !m_calls.target().notice().isLeaving && !m_stop.refusesWork(std::chrono::steady_clock::now());
        auto service = offered ? m_serverReports.current()->service : "";
        auto slots = offered ? slotsToAnnounce() : 0;
        if (service == m_self.service && slots == m_self.slots) {
            return;
        }
        m_self.service = service;
        m_self.slots = slots;
        m_membership->setSelf(m_self);
    }

    // With a rate limit, the calls that it keeps running: nodes that rarely send here choose by the
    // announced slots. Changes below a factor of two are not announced, to limit gossip.
    std::uint32_t routed_process::slotsToAnnounce() const
    {
        auto slots = m_serverReports.current()->slots;
        const auto& gate = m_calls.target().gate();
        if (!gate.isRateLimited()) {
            return slots;
        }
        auto limit = std::clamp(gate.limit(), 1U, slots);
        bool isClose = m_self.slots <= slots && m_self.slots <= 2 * limit && limit <= 2 * m_self.slots;
        return isClose ? m_self.slots : limit;
    }

    bool routed_process::isReady() const
    {
        bool joined = m_members->size() > 1 || std::chrono::steady_clock::now() - m_started > maxJoinTime;
        return m_routes.version() > 0 && joined && !m_stop.draining();
    }

    void routed_process::startBusyTicks()
    {
        if (!m_busyTicks) {
            m_busyTicks = true;
            scheduleTick();
        }
    }

    void routed_process::tick()
    {
        auto now = std::chrono::steady_clock::now();
        m_budget->tick(now);
        m_quotas->exchange().tick(now);
        m_calls.tick(now);
        logLoad(now);
        announceSlots(now);
        m_settingsWatch.check(now);
        if (now >= m_nextSessionCheck) {
            m_nextSessionCheck = now + sessionCheckPeriod;
            m_clientServer->enforceTimeouts(now);
        }
        m_stop.step(now);
        m_busyTicks = m_calls.isBusy() || m_budget->growing() > 0;
        scheduleTick();
    }

    // Logs the figures behind the decisions on the local backend server, once a second while it has
    // calls in progress.
    void routed_process::logLoad(std::chrono::steady_clock::time_point now)
    {
        if (now < m_nextLoadLog || m_calls.target().inProgress() == 0) {
            return;
        }
        m_nextLoadLog = now + loadLogPeriod;
        const auto& gate = m_calls.target().gate();
        logEvent(events::serverLoad, { { "service", m_self.service }, { "limit", std::to_string(gate.limit()) }, { "running", std::to_string(gate.inFlight()) }, { "waiting", std::to_string(gate.waiting()) }, { "cut", std::to_string(gate.cut()) }, { "drain_per_s", std::to_string(std::lround(gate.drainRate())) }, { "rate_limit", rateLimitText(m_calls.target().notice()) }, { "sent", std::to_string(gate.counters().admitted) }, { "entered", std::to_string(m_calls.entry().inProgress()) }, { "members", std::to_string(m_members->size()) }, { "version", std::to_string(m_routes.version()) } });
    }

    // A rate limit may change with each answer, so the slots that it leaves are announced once a
    // second at most.
    void routed_process::announceSlots(std::chrono::steady_clock::time_point now)
    {
        if (now < m_nextSlotAnnouncement || m_self.service.empty()) {
            return;
        }
        m_nextSlotAnnouncement = now + slotAnnouncementPeriod;
        if (slotsToAnnounce() != m_self.slots) {
            serverChanged();
        }
    }

    void routed_process::scheduleTick()
    {
        m_tickTimer.expires_after(m_busyTicks ? busyTickPeriod : idleTickPeriod);
        m_tickTimer.async_wait([this](error_code error) {
            if (!error) {
                tick();
            }
        });
    }

    void routed_process::awaitSignals()
    {
        m_signals.async_wait([this](error_code error, int number) {
            if (error) {
                return;
            }
            if (number == SIGHUP) {
                m_settingsWatch.reread();
            } else {
                m_stop.begin(std::chrono::steady_clock::now());
            }
            awaitSignals();
        });
    }

    routed_stop_hooks routed_process::stopHooks()
    {
        routed_stop_hooks hooks;
        hooks.progress = [this] {
            return stop_progress { m_calls.entry().inProgress(), m_calls.target().inProgress(), m_clientServer->inProgress(), m_peerServer->inProgress() };
        };
        hooks.closeAfterAnswers = [this] { m_clientServer->closeAfterAnswers(); };
        hooks.refuseWork = [this] { refuseWork(); };
        hooks.refuseClients = [this] { m_calls.entry().setIntake(call_intake::OnwardCalls); };
        hooks.endRequests = [this](const stop_progress& progress) { endRequests(progress); };
        hooks.stopAccepting = [this](std::chrono::steady_clock::time_point now) { m_clientServer->stopAccepting(now); };
        hooks.leave = [this] { leave(); };
        return hooks;
    }

    void routed_process::refuseWork()
    {
        m_calls.target().setStopping(std::chrono::steady_clock::now());
        m_self.state = member_state::Draining;
        m_self.service = "";
        m_self.slots = 0;
        m_membership->setSelf(m_self);
    }

    // The requests that endAll() answers are also logged individually.
    void routed_process::endRequests(const stop_progress& progress)
    {
        auto now = std::chrono::steady_clock::now();
        logEvent(events::stopTimedOut, { { "entered", std::to_string(progress.entered) }, { "arrived", std::to_string(progress.arrived) }, { "clients", std::to_string(progress.clients) }, { "peers", std::to_string(progress.peers) } });
        for (const auto& run : m_calls.target().runsInProgress(now, maxRunsLogged)) {
            logEvent(events::runCutByStop, { { "request_id", run.requestId }, { "class", run.requestClass }, { "instance", run.instanceId }, { "elapsed_us", std::to_string(run.elapsed.count()) } });
        }
        m_calls.entry().endAll(now);
    }

    void routed_process::leave()
    {
        m_self.state = member_state::Left;
        m_membership->setSelf(m_self);
        m_exitTimer.expires_after(exitDelay);
        m_exitTimer.async_wait([this](error_code) { m_context.stop(); });
    }

    operator_hooks routed_process::operatorHooks()
    {
        operator_hooks hooks;
        hooks.collectState = [this](state_receiver receiver) { collectState(std::move(receiver)); };
        hooks.collectMetrics = [this](const std::function<void(std::string)>& receiver) { collectMetrics(receiver); };
        hooks.contractsSince = [this](std::int64_t version) { return m_routes.changesSince(version); };
        hooks.poisonTold = [this](const Json::Value& document) {
            m_poison.mergeFromPeer(document);
            return Json::Value(Json::objectValue);
        };
        hooks.poisonSince = [this](std::int64_t version) { return m_poison.changesSince(version); };
        hooks.explain = [this](const std::string& requestId) { return explain(requestId); };
        hooks.quota = [this](const std::string& organisation) -> operator_reply {
            auto standing = m_quotas->standingOf(organisation, std::chrono::steady_clock::now());
            standing["name"] = m_settings.name;
            return standing;
        };
        return hooks;
    }

    routed_parts routed_process::parts() const
    {
        return { m_calls, m_serverReports, m_routes, m_poison, m_quotas->exchange(), *m_peerServer, *m_clientServer, m_store.returns(), m_members->size(), m_stop.draining(), m_unreadableLoads, m_unreadableNotices };
    }

    void routed_process::collectState(state_receiver receiver)
    {
        auto uptime = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_started);
        auto versions = std::make_shared<contract_set>();
        versions->revision = m_routes.version();
        auto calls = dumpCalls(parts());
        calls["targets"] = dumpTargets(m_calls.entry().targets(std::chrono::steady_clock::now()));
        calls["messages"] = dumpMessageBudget(*m_budget);
        auto state = toJson(operator_state { m_self, m_settings, uptime, m_members, versions }, calls);
        state["ready"] = isReady();
        state["routes"] = m_routes.dump();
        state["poison"] = m_poison.dump();
        state["quotas"] = m_quotas->dump(std::chrono::steady_clock::now());
        m_membership->dump([state, receiver = std::move(receiver)](const Json::Value& membership) {
            auto completeState = state;
            completeState["membership"] = membership;
            receiver(completeState);
        });
    }

    void routed_process::collectMetrics(const std::function<void(std::string)>& receiver)
    {
        auto gauges = gaugesOf(parts());
        setBudgetGauges(*m_budget, gauges);
        m_metrics.set(gauges);
        receiver(m_metrics.text());
    }

    operator_reply routed_process::explain(const std::string& requestId) const
    {
        Json::Value json;
        json["name"] = m_settings.name;
        json["request_id"] = requestId;
        json["decisions"] = toJson(m_journal.find(requestId), std::chrono::steady_clock::now());
        return json;
    }

    void routed_process::observe(const call_observation& observation)
    {
        m_metrics.observe(observation);
        m_journal.record(observation);
        m_callLog.observe(observation);
    }

    void routed_process::recordUnreadableLoad(const server_start& start)
    {
        ++m_unreadableLoads;
        if (start == m_lastUnreadableLoadStart) {
            return;
        }
        m_lastUnreadableLoadStart = start;
        logEvent(events::serverLoadUnreadable, { { "instance", start.instanceId } });
    }

    void routed_process::recordUnreadableNotice(const server_start& start)
    {
        ++m_unreadableNotices;
        if (start == m_lastUnreadableNoticeStart) {
            return;
        }
        m_lastUnreadableNoticeStart = start;
        logEvent(events::serverNoticeUnreadable, { { "instance", start.instanceId } });
    }

    void routed_process::logCutOffAnswer(const server_start& start)
    {
        if (auto leftOut = m_cutOffLimiter.take(events::answerCutOff, std::chrono::steady_clock::now())) {
            logEvent(events::answerCutOff, { { "instance", start.instanceId }, { "left_out", std::to_string(*leftOut) } });
        }
    }

    void routed_process::serverNoticeChanged(const server_start& start, const server_notice& notice)
    {
        m_noticeLog.changed(start, notice, std::chrono::steady_clock::now());
        if (notice.isLeaving) {
            serverChanged();
        }
    }

    // Runs the handlers that are still queued: an undelivered message would keep its actor, and
    // thereby the process, alive forever.
    void routed_process::endActors()
    {
        m_membership->stop();
        m_context.restart();
        m_context.poll();
    }

    int routed_process::run()
    {
        awaitSignals();
        logEvent(events::nodeStarted, { { "name", m_settings.name }, { "availability_zone", m_settings.availabilityZone }, { "incarnation", std::to_string(m_self.id) }, { "caller", m_clientServer->address() }, { "backend", m_reportServer->address() }, { "ready", m_readinessServer->address() }, { "peer", m_self.address }, { "operator", m_self.operatorAddress } });
        m_membership->start(m_self, m_peerServer->address());
        m_routes.start();
        m_poison.start();
        tick();
        m_context.run();
        endActors();
        logEvent(events::nodeStopped, { { "name", m_settings.name } });
        return 0;
    }

}

int runRoutedNode(const node_settings& settings, const settings_source& source)
{
    logToStandardOutput();
    // A connection that the peer closed is detected by the error of the write.
    std::signal(SIGPIPE, SIG_IGN);
    try {
        routed_process process(settings, source);
        return process.run();
    } catch (const boost::system::system_error& error) {
        logEvent(events::portNotBound, { { "error", error.what() } });
        return exitCannotListen;
    }
}

}
