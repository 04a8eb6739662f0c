#include "node/node_process.h"

#include "backend/backend_health_monitor.h"
#include "backend/backend_port.h"
#include "events/event_catalogue.h"
#include "node/call_actor.h"
#include "node/configuration_service.h"
#include "node/membership_service.h"
#include "node/message_memory.h"
#include "node/planned_stop.h"
#include "operator/call_log.h"
#include "operator/node_metrics.h"
#include "operator/operator_port.h"
#include "operator/operator_state.h"
#include "operator/request_journal.h"
#include "peer/gossip_socket.h"
#include "peer/peer_server.h"
#include "store/gateway_json.h"

#include <boost/asio.hpp>
#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>

#include <csignal>
#include <iostream>
#include <random>

namespace vanillashunt {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

    // The documented exit code of the command for usage errors.
    constexpr int exitCannotListen = 2;

    // How often deadlines and queues are checked, with and without calls in progress.
    constexpr std::chrono::milliseconds busyTickPeriod { 5 };
    constexpr std::chrono::milliseconds idleTickPeriod { 100 };

    // Number of decisions kept for the explain command; takes a few megabytes.
    constexpr std::size_t journalCapacity = 16384;

    // Time to send the last gossip messages before the process exits.
    constexpr std::chrono::milliseconds finalGossipTime { 100 };

    // Messages of the store and of other nodes about documents: a value of the store has 1.5 MiB, and a
    // third more as text.
    constexpr std::uint64_t maxControlBytes = 4ULL * 1024 * 1024;

    class node_process {
    public:
        explicit node_process(const node_settings&);

        int run();

    private:
        void handleCallerRequest(http_request, const std::shared_ptr<http_exchange>&);
        void backendAnnounced(const backend_announcement&);
        void tick();
        void scheduleTick();
        void callStarted();
        void advertiseBackend(bool offered);
        void backendWithdrawn();
        void requestStop(stop_reason);
        void applyStopState();
        void advanceStop();
        void leaveAndExit(bool idle);
        void endActors();
        void printReady() const;
        operator_hooks operatorHooks();
        membership_hooks membershipHooks();
        configuration_hooks configurationHooks();
        void collectState(state_receiver);
        void collectMetrics(const std::function<void(std::string)>& receiver);
        void setGauges(const Json::Value& calls);
        Json::Value dumpPeers() const;
        operator_reply explain(const std::string& requestId) const;
        operator_reply announceStop();
        operator_reply withdrawStop();
        Json::Value stopState() const;
        void observe(const call_observation&);
        void bindPeerPort();
        std::string advertisedAddress(const port_settings&, const std::string& boundAddress) const;

        node_settings m_settings;
        std::chrono::steady_clock::time_point m_started = std::chrono::steady_clock::now();
        std::mt19937_64 m_random { std::random_device {}() };
        std::uint64_t m_incarnation = m_random();
        std::shared_ptr<byte_budget> m_budget = makeMessageBudget(m_settings);
        asio::io_context m_context { 1 };
        caf::actor_system_config m_config;
        std::unique_ptr<caf::actor_system> m_system;
        std::unique_ptr<actor_host> m_host;
        caf::actor m_calls;
        std::unique_ptr<peer_client> m_peers;
        std::unique_ptr<backend_client> m_backend;
        std::unique_ptr<store_client> m_store;
        std::unique_ptr<claim_store> m_claims;
        std::unique_ptr<membership_service> m_membership;
        std::unique_ptr<http_client> m_controlClient;
        std::unique_ptr<peer_rpc> m_peerRpc;
        std::unique_ptr<configuration_service> m_configuration;
        std::unique_ptr<http_server> m_callerServer;
        std::unique_ptr<backend_port> m_backendPort;
        std::unique_ptr<peer_server> m_peerServer;
        std::unique_ptr<operator_port> m_operatorPort;
        asio::steady_timer m_tickTimer { m_context };
        bool m_callsInProgress = false;
        asio::steady_timer m_exitTimer { m_context };
        asio::signal_set m_signals { m_context, SIGTERM, SIGINT };
        member m_self;
        std::optional<backend_announcement> m_announcement;
        std::unique_ptr<backend_health_monitor> m_backendWatch;
        planned_stop m_stop { m_settings.drainTimeout };
        bool m_refusesCallers = false;
        member_list m_members;
        node_metrics m_metrics { std::chrono::system_clock::now() };
        request_journal m_journal { journalCapacity };
        call_log m_callLog;
    };

    node_process::node_process(const node_settings& settings)
        : m_settings(settings)
    {
        setLogLevel(settings.logLevel);
        // Every actor runs on the thread of the io_context; CAF's own scheduler stays idle.
        m_config.set("scheduler.policy", caf::atom("sharing"));
        m_config.set("scheduler.max-threads", 1);
        m_system = std::make_unique<caf::actor_system>(m_config);
        m_host = std::make_unique<actor_host>(*m_system, m_context);

        peer_client_settings peerSettings;
        peerSettings.outgoingAddress = settings.outgoingAddress;
        peerSettings.maxBodyBytes = largestBody(settings, *m_budget);
        peerSettings.budget = m_budget;
        m_peers = std::make_unique<peer_client>(m_context, peerSettings);
        http_client_settings clientSettings;
        clientSettings.outgoingAddress = settings.outgoingAddress;
        clientSettings.maxBodyBytes = maxControlBytes;
        clientSettings.budget = m_budget;
        auto backendSettings = clientSettings;
        backendSettings.maxBodyBytes = largestBody(settings, *m_budget);
        backendSettings.place = byte_place::Server;
        m_backend = std::make_unique<backend_client>(m_context, backendSettings);
        m_store = std::make_unique<store_client>(m_context, settings.platformEndpoints, clientSettings);

        m_claims = std::make_unique<claim_store>(*m_store);

        call_actor_parameters parameters;
        parameters.host = m_host.get();
        parameters.peers = m_peers.get();
        parameters.backend = m_backend.get();
        parameters.claims = m_claims.get();
        parameters.random = [this] { return m_random(); };
        parameters.attemptEnded = [this](std::uint64_t memberId, bool answered) { m_membership->callEnded(memberId, answered); };
        parameters.backendAnswered = [this] { m_backendWatch->callAnswered(); };
        parameters.observed = [this](const call_observation& observation) { observe(observation); };
        parameters.policy = parseAdmissionPolicy(settings.policy).value_or(admission_policy::Full);
        parameters.incarnation = m_incarnation;
        parameters.started = m_started;
        parameters.location = { settings.availabilityZone, settings.region };
        m_calls = m_system->spawn<call_actor, caf::lazy_init>(parameters);

        m_membership = std::make_unique<membership_service>(*m_host, m_context, *m_store, settings.mesh, settings.joinAddresses,
            membershipHooks());
        m_controlClient = std::make_unique<http_client>(m_context, clientSettings);
        m_peerRpc = std::make_unique<peer_rpc>(*m_controlClient);
        m_configuration = std::make_unique<configuration_service>(m_context, *m_store, *m_peerRpc,
            configuration_settings { settings.platformEndpoints, settings.outgoingAddress, settings.availabilityZone, m_incarnation },
            configurationHooks());

        http_server_limits callerLimits;
        callerLimits.maxBodyBytes = largestBody(settings, *m_budget);
        callerLimits.budget = m_budget;
        callerLimits.place = byte_place::Caller;
        m_callerServer = std::make_unique<http_server>(m_context, settings.caller.listen, callerLimits,
            [this](http_request request, const std::shared_ptr<http_exchange>& exchange) { handleCallerRequest(std::move(request), exchange); });
        bindPeerPort();
        m_backendWatch = std::make_unique<backend_health_monitor>(m_context, *m_backend, [this](bool offered) { advertiseBackend(offered); });
        backend_port_hooks hooks;
        hooks.announced = [this](const backend_announcement& announcement) { backendAnnounced(announcement); };
        hooks.withdrawn = [this] { backendWithdrawn(); };
        hooks.draining = [this] { requestStop(stop_reason::BackendServer); };
        m_backendPort = std::make_unique<backend_port>(m_context, settings.backend.listen, hooks);

        m_operatorPort = std::make_unique<operator_port>(m_context, settings.operators.listen, operatorHooks());

        m_self.id = m_incarnation;
        m_self.name = settings.name;
        m_self.availabilityZone = settings.availabilityZone;
        m_self.region = settings.region;
        m_self.address = advertisedAddress(settings.peer, m_peerServer->address());
        m_self.operatorAddress = advertisedAddress(settings.operators, m_operatorPort->address());
    }

    membership_hooks node_process::membershipHooks()
    {
        membership_hooks hooks;
        hooks.membersChanged = [this](const member_list& members) {
            m_members = members;
            m_configuration->setMembers(members);
            m_host->send(m_calls, members_changed { members });
        };
        hooks.ownVersions = [this] { return document_versions { m_configuration->revision(), m_configuration->age() }; };
        hooks.peerVersions = [this](const member& peer, const document_versions& versions) { m_configuration->handlePeerRevision(peer, versions.contracts, versions.contractsAge); };
        return hooks;
    }

    configuration_hooks node_process::configurationHooks()
    {
        configuration_hooks hooks;
        hooks.contractsChanged = [this](const contract_snapshot& contracts) {
            logEvent(events::contractsChanged, { { "revision", std::to_string(contracts->revision) } });
            m_host->send(m_calls, contracts_changed { contracts });
            m_membership->spreadSoon();
        };
        hooks.randomBelow = [this](std::uint64_t bound) { return m_random() % bound; };
        hooks.storeRecovered = [this] { m_membership->readSeedsSoon(); };
        return hooks;
    }

    // Gossip uses the UDP port with the number of the peer port. If the operating system
    // chooses the port, it is tried again until that UDP port is free as well.
    void node_process::bindPeerPort()
    {
        constexpr int maxAttempts = 20;
        for (int i = 0; i < maxAttempts; ++i) {
            m_peerServer = std::make_unique<peer_server>(
                m_context, m_settings.peer.listen, largestBody(m_settings, *m_budget),
                [this](call_request request, const std::shared_ptr<peer_exchange>& exchange) {
                    callStarted();
                    m_host->send(m_calls, peer_call_arrived { std::move(request), exchange });
                },
                m_budget);
            if (isUdpPortFree(m_context, m_peerServer->address())) {
                return;
            }
        }
    }

    std::string node_process::advertisedAddress(const port_settings& port, const std::string& boundAddress) const
    {
        return port.advertise.empty() ? boundAddress : port.advertise;
    }

    void node_process::handleCallerRequest(http_request request, const std::shared_ptr<http_exchange>& exchange)
    {
        auto read = readCallerRequest(std::move(request));
        if (auto* problem = std::get_if<caller_problem>(&read)) {
            final_answer final;
            final.answer.outcome = verdict::notRun(problem->reason);
            final.message = problem->message;
            m_metrics.observe({ call_decision::Finished, request_context {}, std::chrono::steady_clock::now(), final.answer.outcome, problem->message, true });
            exchange->respond(toResponse(std::move(final)));
            return;
        }
        callStarted();
        m_host->send(m_calls, caller_arrived { std::move(std::get<caller_request>(read)), exchange });
    }

    void node_process::backendAnnounced(const backend_announcement& announcement)
    {
        m_backendWatch->setBackend(announcement);
        if (m_self.service != announcement.service) {
            logEvent(events::backendServerAnnounced, { { "service", announcement.service }, { "address", announcement.address } });
        }
        m_announcement = announcement;
        m_host->send(m_calls, backend_announced { announcement });
        advertiseBackend(m_backendWatch->isHealthy());
    }

    // Tells the other nodes which service they may call at this node: none while the
    // backend server is unreachable.
    void node_process::advertiseBackend(bool offered)
    {
        bool isOffered = offered && m_announcement;
        m_self.service = isOffered ? m_announcement->service : "";
        m_self.slots = isOffered ? m_announcement->slots : 0;
        m_membership->setSelf(m_self);
    }

    void node_process::backendWithdrawn()
    {
        m_announcement.reset();
        m_backendWatch->setBackend(std::nullopt);
        m_host->send(m_calls, backend_withdrawn {});
        advertiseBackend(false);
        // The next backend server to announce itself is not the one that drained.
        m_stop.withdraw(stop_reason::BackendServer);
        applyStopState();
    }

    // Switches from the idle to the busy tick period when the first call starts.
    void node_process::callStarted()
    {
        if (m_callsInProgress) {
            return;
        }
        m_callsInProgress = true;
        scheduleTick();
    }

    void node_process::tick()
    {
        m_budget->tick(std::chrono::steady_clock::now());
        m_host->send(m_calls, clock_tick {});
        if (m_stop.exiting()) {
            advanceStop();
        }
        m_callsInProgress = m_callerServer->inProgress() != 0 || m_peerServer->inProgress() != 0 || m_budget->growing() != 0;
        scheduleTick();
    }

    void node_process::scheduleTick()
    {
        m_tickTimer.expires_after(m_callsInProgress ? busyTickPeriod : idleTickPeriod);
        m_tickTimer.async_wait([this](error_code error) {
            if (!error) {
                tick();
            }
        });
    }

    void node_process::requestStop(stop_reason reason)
    {
        if (!m_stop.draining()) {
            logEvent(events::drainStarted);
        }
        m_stop.request(reason, std::chrono::steady_clock::now());
        applyStopState();
    }

    void node_process::applyStopState()
    {
        m_host->send(m_calls, drain_changed { m_stop.draining() });
        if (m_stop.exiting()) {
            m_callerServer->closeAfterResponses();
        }
        auto state = m_stop.draining() ? member_state::Draining : member_state::Alive;
        if (m_self.state == state) {
            return;
        }
        m_self.state = state;
        m_membership->setSelf(m_self);
    }

    // Performs the next step of the stop if it is due; called with each tick.
    void node_process::advanceStop()
    {
        m_host->send(m_calls, progress_requested { [this](std::size_t inbound, std::size_t outbound) {
            auto now = std::chrono::steady_clock::now();
            // Calls that run at the local backend server may still make onward calls through this node.
            if (inbound == 0 && m_stop.mayClosePorts(now)) {
                m_callerServer->stopAccepting(now);
            }
            bool idle = inbound == 0 && outbound == 0 && m_callerServer->inProgress() == 0 && m_peerServer->inProgress() == 0;
            bool hasLeft = m_self.state == member_state::Left;
            if (m_stop.mayExit(idle, now) && !hasLeft) {
                leaveAndExit(idle);
            } else if (!hasLeft && m_stop.mayClosePorts(now) && !std::exchange(m_refusesCallers, true)) {
                m_host->send(m_calls, intake_changed { call_intake::OnwardCalls });
            }
        } });
    }

    // Announces that this node has left, answers every caller whose call is still in progress,
    // then exits.
    void node_process::leaveAndExit(bool idle)
    {
        m_self.state = member_state::Left;
        m_membership->setSelf(m_self);
        auto scheduleExit = [this] {
            m_exitTimer.expires_after(finalGossipTime);
            m_exitTimer.async_wait([this](error_code) { m_context.stop(); });
        };
        if (!idle) {
            logEvent(events::stopTimedOut, { { "clients", std::to_string(m_callerServer->inProgress()) }, { "peers", std::to_string(m_peerServer->inProgress()) } });
        }
        m_host->send(m_calls, end_calls_requested { scheduleExit });
    }

    operator_hooks node_process::operatorHooks()
    {
        operator_hooks hooks;
        hooks.collectState = [this](state_receiver receiver) { collectState(std::move(receiver)); };
        hooks.collectMetrics = [this](const std::function<void(std::string)>& receiver) { collectMetrics(receiver); };
        hooks.contractsSince = [this](std::int64_t revision) { return m_configuration->updateSince(revision); };
        hooks.announceStop = [this](const Json::Value&) { return announceStop(); };
        hooks.withdrawStop = [this](const Json::Value&) { return withdrawStop(); };
        hooks.explain = [this](const std::string& requestId) { return explain(requestId); };
        return hooks;
    }

    void node_process::collectState(state_receiver receiver)
    {
        m_host->send(m_calls, state_requested { [this, receiver = std::move(receiver)](const Json::Value& calls) {
            auto uptime = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_started);
            auto state = toJson(operator_state { m_self, m_settings, uptime, m_members, m_configuration->contracts() }, calls);
            state["peers"] = dumpPeers();
            state["messages"] = dumpMessageBudget(*m_budget);
            state["configuration"] = m_configuration->dump();
            m_membership->dump([state, receiver](const Json::Value& membership) {
                auto complete = state;
                complete["membership"] = membership;
                receiver(complete);
            });
        } });
    }

    void node_process::collectMetrics(const std::function<void(std::string)>& receiver)
    {
        m_host->send(m_calls, state_requested { [this, receiver](const Json::Value& calls) {
            setGauges(calls);
            receiver(m_metrics.text());
        } });
    }

    Json::Value node_process::dumpPeers() const
    {
        const auto& counts = m_peers->counts();
        Json::Value json;
        json["crossed_answers"] = Json::UInt64(counts.crossedAnswers);
        json["damaged_answers"] = Json::UInt64(counts.damagedAnswers);
        json["connects_failed"] = Json::UInt64(counts.connectsFailed);
        json["damaged_frames"] = Json::UInt64(m_peerServer->damagedFrames());
        return json;
    }

    void node_process::setGauges(const Json::Value& calls)
    {
        auto gauges = readGauges(calls);
        gauges.contractRevision = m_configuration->contracts()->revision;
        gauges.members = m_members ? m_members->size() : 0;
        if (auto age = m_configuration->age()) {
            gauges.configurationAge = std::chrono::duration<double>(*age).count();
        }
        gauges.crossedAnswers = m_peers->counts().crossedAnswers;
        gauges.damagedAnswers = m_peers->counts().damagedAnswers;
        gauges.connectsFailed = m_peers->counts().connectsFailed;
        gauges.damagedFrames = m_peerServer->damagedFrames();
        setBudgetGauges(*m_budget, gauges);
        m_metrics.set(gauges);
    }

    operator_reply node_process::explain(const std::string& requestId) const
    {
        Json::Value json;
        json["name"] = m_settings.name;
        json["request_id"] = requestId;
        json["decisions"] = toJson(m_journal.find(requestId), std::chrono::steady_clock::now());
        return json;
    }

    operator_reply node_process::announceStop()
    {
        requestStop(stop_reason::Operator);
        return stopState();
    }

    operator_reply node_process::withdrawStop()
    {
        m_stop.withdraw(stop_reason::Operator);
        if (m_stop.exiting()) {
            return operator_refusal { "the node received SIGTERM and exits when its work is done; start it again" };
        }
        if (m_stop.draining()) {
            return operator_refusal { "the backend server of this node is draining; the node takes on no new work until the backend server announces itself again" };
        }
        applyStopState();
        logEvent(events::stopWithdrawn);
        return stopState();
    }

    Json::Value node_process::stopState() const
    {
        Json::Value json;
        json["name"] = m_settings.name;
        json["draining"] = m_stop.draining();
        return json;
    }

    void node_process::observe(const call_observation& observation)
    {
        m_metrics.observe(observation);
        m_journal.record(observation);
        m_callLog.observe(observation);
    }

    void node_process::printReady() const
    {
        Json::Value ready;
        ready["ready"] = "node";
        ready["name"] = m_settings.name;
        ready["caller"] = m_callerServer->address();
        ready["backend"] = m_backendPort->address();
        ready["peer"] = m_peerServer->address();
        ready["operator"] = m_operatorPort->address();
        ready["incarnation"] = Json::UInt64(m_incarnation);
        std::cout << writeJson(ready) << std::endl;
    }

    // Messages that the event loop has not delivered may keep an actor alive, and the actor
    // system waits for all actors, so that the process would never exit.
    void node_process::endActors()
    {
        m_host->end(m_calls);
        m_membership->stop();
        m_context.restart();
        m_context.poll();
        m_calls = nullptr;
    }

    int node_process::run()
    {
        m_signals.async_wait([this](error_code error, int) {
            if (!error) {
                requestStop(stop_reason::Signal);
            }
        });
        printReady();
        logEvent(events::nodeStarted, { { "name", m_settings.name }, { "availability_zone", m_settings.availabilityZone } });
        tick();
        m_membership->start(m_self, m_peerServer->address());
        m_configuration->start();
        m_context.run();
        endActors();
        logEvent(events::nodeStopped, { { "name", m_settings.name } });
        return 0;
    }

}

int runNode(const node_settings& settings)
{
    try {
        node_process process(settings);
        return process.run();
    } catch (const boost::system::system_error& error) {
        logEvent(events::portNotBound, { { "error", error.what() } });
        return exitCannotListen;
    }
}

}
