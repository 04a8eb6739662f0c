#pragma once

#include "RoutedWorld/platform_world.h"
#include "RoutedWorld/routed_node.h"
#include "RoutedWorld/soak_server.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace vanillashunt {

// What a client of the soak was told of one request.
struct soak_outcome {
    std::string requestId;
    bool idempotent = true;
    // 0 where the connection ended without an answer.
    int status = 0;
    std::string body;
    // Whether the client waits for the advised time after a refusal.
    bool isPatient = true;
    // Whether the node accepted the connection, and closed it although the request came at once.
    bool isCutOff = false;
};

// How the servers of a soak start again.
enum class server_restarts {
    ByNewId, // Each start has another id, and no time.
    ByOldId, // The id stays; each start has its time.
    AfterDeregistration, // Like ByOldId, after a deregistration that names no start; nodes are stopped, never killed.
};

// Some nodes as real processes, each with a server, beside a store; clients that never
// stop; and faults that overlap, all by one seed.
class soak_run {
public:
    explicit soak_run(std::uint64_t seed, server_restarts = server_restarts::ByNewId);
    ~soak_run();

    // Brings about so many faults, one after the other, while the clients go on.
    void breakThings(int faults);

    // Ends the clients; what they were told.
    std::vector<soak_outcome> outcomes();

    // How often each request ran, at all servers together.
    std::map<std::string, int> runs();

    // Whether every node serves a request again; asks each until it does.
    bool allServe();

    // Whether nodes are killed, so that a connection may end without an answer.
    bool killsNodes() const { return m_restarts != server_restarts::AfterDeregistration; }

    // Requests that began to run at a server after the drain limit that follows its acknowledged deregistration.
    std::size_t lateRuns() const { return m_lateRuns; }

private:
    static constexpr std::size_t nodeCount = 4;

    struct place {
        std::unique_ptr<soak_server> server;
        std::unique_ptr<routed_node> node;
        // Where clients reach the node; empty while it is not there.
        std::string callerPort;
        int sequence = 0;
    };

    void configure();
    void startNode(std::size_t which);
    void startNodeWithoutReport(std::size_t which);
    void report(std::size_t which, const std::string& state);
    void kill(std::size_t which);
    void stop(std::size_t which);
    void freeze(std::size_t which);
    void replaceServer(std::size_t which);
    void restartServer(std::size_t which);
    void injectFault(std::size_t which);
    void injectFaultWithoutKill(std::size_t which);
    void deregisterServer(std::size_t which);
    void deregisterServerAfterRestart(std::size_t which);
    void countLateRuns(std::size_t which, std::chrono::steady_clock::time_point acknowledged);
    void takeStoreAway();
    void serveClient(std::uint64_t seed);
    soak_outcome ask(const std::string& address, const std::string& requestId, bool idempotent) const;
    std::string addressOf(std::size_t which);
    soak_outcome askOnConnection(std::unique_ptr<raw_socket>& connection, const std::string& address, const std::string& requestId, bool idempotent, std::chrono::milliseconds pause, std::chrono::milliseconds& retryAfter) const;
    void servePersistentClient(std::uint64_t seed, bool isPatient);
    std::vector<soak_outcome> askAhead(const std::string& address, const std::vector<std::string>& requestIds, std::size_t answersRead) const;
    void servePipeliningClient(std::uint64_t seed);

    std::mt19937_64 m_random;
    server_restarts m_restarts;
    platform_world m_world;
    int m_version = 0;
    std::vector<place> m_places;
    std::mutex m_mutex;
    std::vector<soak_outcome> m_outcomes;
    std::size_t m_lateRuns = 0;
    std::atomic<bool> m_ends = false;
    std::vector<std::thread> m_clients;
};

}
