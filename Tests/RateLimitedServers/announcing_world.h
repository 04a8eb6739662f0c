#pragma once

#include "RoutedWorld/platform_world.h"
#include "RoutedWorld/routed_node.h"
#include "RoutedWorld/soak_server.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace vanillashunt {

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

    // The server beside the node reports that it is ready.
    void reportReady(std::size_t which);

    void setStoreDown(bool down) { m_world.setStoreDown(down); }

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

    platform_world m_world;
    std::vector<place> m_places;
    // Guards the caller ports.
    std::mutex m_mutex;
    std::atomic<std::size_t> m_served { 0 };
    std::atomic<bool> m_ends { false };
    std::vector<std::thread> m_clients;
};

}
