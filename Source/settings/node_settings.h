#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace vanillashunt {

// Where a port listens and where others reach it. The two differ behind a proxy
// or address translation. An empty advertised address means the bound one.
struct port_settings {
    // "IP:port"; port 0 takes a free one.
    std::string listen;
    std::string advertise;
};

// What a node that serves an operator's routes needs beside the rest.
struct route_settings {
    // The service of the server beside the node, and where it serves: "IP:port".
    std::string service;
    std::string server;
    // Where the platform asks whether the node is ready.
    std::string readyListen;
    // Repeats that all nodes together may send for each request to a service, and
    // beside that, within the window.
    double retryRatio = 0.2;
    double retrySlack = 0;
    std::chrono::milliseconds retryWindow { 10000 };
    // Availability zones that share the organisations' limits evenly, this node's among them.
    std::vector<std::string> zones {};
    // What all nodes together may let through beyond a limit: in any window this part of
    // what the limit allows in it, and so many requests.
    double quotaOver = 0;
    std::chrono::milliseconds quotaWindow { 5000 };
    double quotaSlack = 0;
    // Whether calls go by what servers tell of their speed.
    bool balanceByPace = true;
    // From SIGTERM until the platform kills the process.
    std::chrono::milliseconds grace { 6000 };
};

// What one node reads at its start.
struct node_settings {
    std::string name;
    std::string availabilityZone;
    std::string region;
    // The address that outgoing sockets are bound to.
    std::string outgoingAddress;

    // HTTP for callers outside and for the own backend server's onward calls.
    port_settings caller;
    // Where the own backend server announces itself.
    port_settings backend;
    // Peers: calls over TCP and gossip over UDP, on the same port number.
    port_settings peer;
    // Metrics, dump and control calls.
    port_settings operators;

    // The platform's store: "IP:port" each.
    std::vector<std::string> platformEndpoints;
    // Peers to join besides the seeds in the store: "IP:port" each.
    std::vector<std::string> joinAddresses;

    // Largest body of a request or an answer, in bytes.
    std::uint64_t maxBodyBytes = 1024ULL * 1024;
    // Longest time that a planned stop waits for work in flight.
    std::chrono::milliseconds drainTimeout { 30000 };
    // Least severity that is logged: "debug", "info", "warning" or "error".
    std::string logLevel = "info";
    // How much the node decides: "full"; "hop" and "none" are baselines to
    // measure against: plain limits per hop, and none.
    std::string policy = "full";
    // The name of the mesh; may be empty. Gossip and quota datagrams of nodes with another
    // mesh name are dropped.
    std::string mesh {};
    // Only for the command routed-node.
    std::optional<route_settings> routes {};
};

}
