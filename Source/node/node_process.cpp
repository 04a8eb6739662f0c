#include "node/node_process.h"

#include "backend/backend_port.h"
#include "events/event.h"
#include "node/call_actor.h"
#include "node/configuration_service.h"
#include "node/membership_service.h"
#include "peer/peer_server.h"
#include "platform/gateway_json.h"

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

    constexpr event nodeStarted { 100, severity::Info, "node started" };
    constexpr event drainStarted { 101, severity::Info, "planned stop started" };
    constexpr event nodeStopped { 102, severity::Info, "node stopped" };
    constexpr event backendServerAnnounced { 110, severity::Info, "backend server announced" };

    constexpr std::chrono::milliseconds tickPeriod { 5 };

    class node_process {
    public:
        explicit node_process(const node_settings&);

        int run();

    private:
        void callerRequest(http_request, const std::shared_ptr<http_exchange>&);
        void announced(const backend_announcement&);
        void tick();
        void startDrain();
        void printReady() const;
        std::string advertised(const port_settings&, const std::string& bound) const;

        node_settings m_settings;
        std::chrono::steady_clock::time_point m_started = std::chrono::steady_clock::now();
        std::mt19937_64 m_random { std::random_device {}() };
        std::uint64_t m_incarnation = m_random();
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
        std::unique_ptr<configuration_service> m_configuration;
        std::unique_ptr<http_server> m_callerServer;
        std::unique_ptr<backend_port> m_backendPort;
        std::unique_ptr<peer_server> m_peerServer;
        asio::steady_timer m_tickTimer { m_context };
        asio::signal_set m_signals { m_context, SIGTERM, SIGINT };
        member m_self;
    };

    node_process::node_process(const node_settings& settings)
        : m_settings(settings)
    {
        setLogLevel(settings.logLevel);
        // Every actor runs on the thread of the sockets; the library's own scheduler stays idle.
        m_config.set("scheduler.policy", caf::atom("sharing"));
        m_config.set("scheduler.max-threads", 1);
        m_system = std::make_unique<caf::actor_system>(m_config);
        m_host = std::make_unique<actor_host>(*m_system, m_context);

        peer_client_settings peerSettings;
        peerSettings.outgoingAddress = settings.outgoingAddress;
        peerSettings.maxBodyBytes = settings.maxBodyBytes;
        m_peers = std::make_unique<peer_client>(m_context, peerSettings);
        http_client_settings clientSettings;
        clientSettings.outgoingAddress = settings.outgoingAddress;
        clientSettings.maxBodyBytes = settings.maxBodyBytes;
        m_backend = std::make_unique<backend_client>(m_context, clientSettings);
        m_store = std::make_unique<store_client>(m_context, settings.platformEndpoints, clientSettings);

        m_claims = std::make_unique<claim_store>(*m_store);

        call_actor_parts parts;
        parts.host = m_host.get();
        parts.peers = m_peers.get();
        parts.backend = m_backend.get();
        parts.claims = m_claims.get();
        parts.random = [this] { return m_random(); };
        parts.incarnation = m_incarnation;
        parts.started = m_started;
        parts.place = { settings.availabilityZone, settings.region };
        m_calls = m_system->spawn<call_actor, caf::lazy_init>(parts);

        m_membership = std::make_unique<membership_service>(m_context, *m_store,
            membership_hooks { [this](member_list members) { m_host->send(m_calls, members_changed { std::move(members) }); } });
        m_configuration = std::make_unique<configuration_service>(m_context, *m_store,
            configuration_hooks { [this](contract_snapshot contracts) { m_host->send(m_calls, contracts_changed { std::move(contracts) }); } });

        http_server_limits callerLimits;
        callerLimits.maxBodyBytes = settings.maxBodyBytes;
        m_callerServer = std::make_unique<http_server>(m_context, settings.caller.listen, callerLimits,
            [this](http_request request, const std::shared_ptr<http_exchange>& exchange) { callerRequest(std::move(request), exchange); });
        m_peerServer = std::make_unique<peer_server>(m_context, settings.peer.listen, settings.maxBodyBytes,
            [this](call_request request, const std::shared_ptr<peer_exchange>& exchange) {
                m_host->send(m_calls, peer_call_arrived { std::move(request), exchange });
            });
        backend_port_hooks hooks;
        hooks.announced = [this](const backend_announcement& announcement) { announced(announcement); };
        hooks.withdrawn = [this] { m_host->send(m_calls, backend_withdrawn {}); };
        hooks.draining = [this] { startDrain(); };
        m_backendPort = std::make_unique<backend_port>(m_context, settings.backend.listen, hooks);

        m_self.id = m_incarnation;
        m_self.name = settings.name;
        m_self.availabilityZone = settings.availabilityZone;
        m_self.region = settings.region;
        m_self.address = advertised(settings.peer, m_peerServer->address());
    }

    std::string node_process::advertised(const port_settings& port, const std::string& bound) const
    {
        return port.advertise.empty() ? bound : port.advertise;
    }

    void node_process::callerRequest(http_request request, const std::shared_ptr<http_exchange>& exchange)
    {
        auto read = readCallerRequest(std::move(request));
        if (auto* problem = std::get_if<caller_problem>(&read)) {
            final_answer final;
            final.answer.outcome = verdict::notRun(problem->reason);
            final.message = problem->message;
            exchange->respond(toResponse(std::move(final)));
            return;
        }
        m_host->send(m_calls, caller_arrived { std::move(std::get<caller_request>(read)), exchange });
    }

    void node_process::announced(const backend_announcement& announcement)
    {
        if (m_self.service != announcement.service) {
            logEvent(backendServerAnnounced, { { "service", announcement.service }, { "address", announcement.address } });
        }
        m_self.service = announcement.service;
        m_self.slots = announcement.slots;
        m_membership->setSelf(m_self);
        m_host->send(m_calls, backend_announced { announcement });
    }

    void node_process::tick()
    {
        m_host->send(m_calls, clock_tick {});
        m_tickTimer.expires_after(tickPeriod);
        m_tickTimer.async_wait([this](error_code error) {
            if (!error) {
                tick();
            }
        });
    }

    void node_process::startDrain()
    {
        logEvent(drainStarted);
        m_host->send(m_calls, drain_requested { [this] { m_context.stop(); } });
    }

    void node_process::printReady() const
    {
        Json::Value ready;
        ready["ready"] = "node";
        ready["name"] = m_settings.name;
        ready["caller"] = m_callerServer->address();
        ready["backend"] = m_backendPort->address();
        ready["peer"] = m_peerServer->address();
        ready["incarnation"] = Json::UInt64(m_incarnation);
        std::cout << writeJson(ready) << std::endl;
    }

    int node_process::run()
    {
        m_signals.async_wait([this](error_code error, int) {
            if (!error) {
                startDrain();
            }
        });
        printReady();
        logEvent(nodeStarted, { { "name", m_settings.name }, { "availability_zone", m_settings.availabilityZone } });
        tick();
        m_membership->start(m_self);
        m_configuration->start();
        m_context.run();
        m_calls = nullptr;
        logEvent(nodeStopped, { { "name", m_settings.name } });
        return 0;
    }

}

int runNode(const node_settings& settings)
{
    node_process process(settings);
    return process.run();
}

}
