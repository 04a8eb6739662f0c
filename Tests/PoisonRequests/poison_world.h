#pragma once

#include "RoutedWorld/platform_world.h"
#include "RoutedWorld/routed_node.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace vanillashunt {

// Nodes as real processes, each beside a server as a real process that a poison request
// ends, and one store. Requests go one after the other, so that each that reaches a
// server ends one.
class poison_world {
public:
    // Starts so many nodes for each size. Those of one group know each other; of the other
    // groups they could only learn by the store, as if they were cut off from them.
    explicit poison_world(const std::vector<std::size_t>& groupSizes);

    // Sends one more copy of the poison request to the node, and starts the servers again
    // that have ended by it.
    void sendCopy(std::size_t entry);

    // The same until so many servers have ended in all, at the nodes in turn.
    void endServers(std::size_t count, const std::vector<std::size_t>& entries);

    // Has a client at each node send copies without a pause, for so long, while servers that
    // end start again. Until `faultsEnd` nodes are killed and frozen and the store is taken
    // away, one after the other, by the seed; without a seed nothing breaks.
    void storm(std::chrono::milliseconds length, std::chrono::milliseconds faultsEnd = {}, std::uint64_t seed = 0);

    // Servers that have ended so far, and those among them that ended later than the time.
    std::size_t ends() const { return m_ends.size(); }
    std::size_t endsAfter(std::chrono::steady_clock::time_point) const;

    // When the last thing broke that the storm was to break, and was mended.
    std::chrono::steady_clock::time_point lastFault() const { return m_lastFault; }

    // When so many servers had ended.
    std::chrono::steady_clock::time_point timeOfEnd(std::size_t number) const { return m_ends.at(number - 1); }

    // All servers are lost at the same moment, each with a request in progress; returns once
    // all nodes have told of it.
    void loseAllServers();

    // How often nodes have tried to write what they share.
    std::size_t writes() { return m_world.changeCalls("/vanillashunt/poison"); }

    // All nodes are killed and start again.
    void killAllNodes();

    // Whether the node still answers what is not poison.
    bool serves(std::size_t entry) { return m_places[entry].node->getUntil("200").substr(9, 3) == "200"; }

    void setStoreDown(bool down) { m_world.setStoreDown(down); }

    std::size_t nodes() const { return m_places.size(); }

private:
    struct place {
        std::size_t group = 0;
        std::string port = "0";
        int starts = 0;
        std::unique_ptr<child_process> server;
        std::unique_ptr<routed_node> node;
        // Where clients reach the node; the last one's while it starts again.
        std::string callerPort;
    };

    void startServer(place&);
    void startNode(std::size_t which);
    void report(place&);
    void startEndedServers();
    void breakSomething(std::mt19937_64&);
    std::string callerAddress(const place&);

    platform_world m_world;
    // Guards the caller ports, which clients read.
    std::mutex m_mutex;
    std::vector<place> m_places;
    std::vector<std::chrono::steady_clock::time_point> m_ends;
    std::chrono::steady_clock::time_point m_lastFault;
};

}
