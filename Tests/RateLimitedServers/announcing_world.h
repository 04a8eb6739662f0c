#pragma once

#include "RoutedWorld/platform_world.h"
#include "RoutedWorld/routed_node.h"
#include "RoutedWorld/soak_server.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace vanillashunt {

// When a node first passed an answer on to a client in which a start of a server announced a rate
// limit, or that it leaves.
struct told_times {
    std::optional<std::chrono::steady_clock::time_point> limit;
    std::optional<std::chrono::steady_clock::time_point> leaving;
};

// Nodes as real processes, each beside a server of the same service that can announce a rate limit
// or that it leaves, one store, and clients at some of the nodes that send without a pause.
class announcing_world {
public:
    explicit announcing_world(std::size_t nodes);
    ~announcing_world();

    // Starts clients at these nodes.
    void sendFrom(const std::vector<std::size_t>& entries);

    // Ends the clients.
    void stopClients();

    soak_server& server(std::size_t which) { return *m_places[which].server; }
    routed_node& node(std::size_t which) { return *m_places[which].node; }

    // Kills the node; a new process takes its place, to which the server reports that it is ready.
    void restartNode(std::size_t which);

    // The same by a planned stop.
    void stopNode(std::size_t which);

    // The server beside the node reports that it is ready.
    void reportReady(std::size_t which);

    void setStoreDown(bool down) { m_world.setStoreDown(down); }

    // What the node where the request entered had passed on of this start.
    told_times toldAt(const std::string& requestId, const std::string& start);

    // Answers with status 200 that clients got.
    std::size_t served() const { return m_served; }

private:
    struct place {
        std::unique_ptr<soak_server> server;
        std::unique_ptr<routed_node> node;
        // Address for clients of the node.
        std::string callerPort;
        int sequence = 0;
    };

    void startNode(std::size_t which);
    std::string callerPort(std::size_t which);
    void serveClient(std::size_t entry, std::size_t client);
    void recordAnswer(std::size_t entry, const std::string& answer);

    platform_world m_world;
    std::vector<place> m_places;
    // Guards the caller ports and what nodes passed on.
    std::mutex m_mutex;
    // By the number of the node and the start.
    std::map<std::pair<std::size_t, std::string>, told_times> m_told;
    std::atomic<std::size_t> m_served { 0 };
    std::atomic<bool> m_ends { false };
    std::vector<std::thread> m_clients;
};

}
