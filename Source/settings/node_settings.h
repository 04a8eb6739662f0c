#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace vanillashunt {

// The address that a port listens on, and the address where others reach it. The two differ
// behind a proxy or address translation. If the advertised address is empty, the bound one is
// used.
struct port_settings {
    // "IP:port"; port 0 selects a free port.
    std::string listen;
    std::string advertise;
};

// Additional settings of a node that serves an operator's routes.
struct route_settings {
    // The service of the backend server next to the node, and the address of that server:
    // "IP:port".
    std::string service;
    std::string server;
    // The address where the platform checks whether the node is ready: "IP:port".
    std::string readyListen;
    // Retry budget of all nodes together for a service, within the window: a ratio of its
    // requests, plus a fixed number.
    double retryRatio = 0.2;
    double retrySlack = 0;
    std::chrono::milliseconds retryWindow { 10000 };
    // Availability zones that share the organisations' limits evenly, including this node's.
    std::vector<std::string> zones {};
    // How far all nodes together may exceed a limit: in any window by this fraction of the
    // requests that the limit allows in it, plus a fixed number of requests.
    double quotaOver = 0;
    std::chrono::milliseconds quotaWindow { 5000 };
    double quotaSlack = 0;
    // Whether calls are balanced by the speed that backend servers report.
    bool balanceByPace = true;
    // Time from SIGTERM until the platform kills the process.
    std::chrono::milliseconds grace { 6000 };
};

// The least memory that a node can work with.
constexpr std::uint64_t minMemoryBytes = 64ULL * 1024 * 1024;

// The settings that a node reads when it starts.
struct node_settings {
    std::string name;
    std::string availabilityZone;
    std::string region;
    // The address that outgoing sockets are bound to.
    std::string outgoingAddress;

    // HTTP port for callers outside the mesh and for outgoing calls of the node's own backend
    // server.
    port_settings caller;
    // Port where the node's own backend server announces itself.
    port_settings backend;
    // Port for peers: calls over TCP and gossip over UDP, on the same port number.
    port_settings peer;
    // Port for metrics, dumps and control calls.
    port_settings operators;

    // Addresses of the platform's store, each "IP:port".
    std::vector<std::string> platformEndpoints;
    // Peers to join in addition to the seeds in the store, each "IP:port".
    std::vector<std::string> joinAddresses;

    // Maximum size of the body of a request or response, in bytes.
    std::uint64_t maxBodyBytes = 1024ULL * 1024;
    // Maximum time that a planned stop waits for calls in flight.
    std::chrono::milliseconds drainTimeout { 30000 };
    // Minimum severity of log events: "debug", "info", "warning" or "error".
    std::string logLevel = "info";
    // Overload control of the node: "full", or one of the baselines for comparison: "hop" for
    // plain limits per hop, "none" for no limits.
    std::string policy = "full";
    // Name of the mesh; may be empty. Gossip and quota datagrams from nodes with another mesh
    // name are dropped.
    std::string mesh {};
    // Only used by the command routed-node.
    std::optional<route_settings> routes {};
    // Memory that the process may use, in bytes. It limits the messages that the node holds at a time.
    std::uint64_t memoryBytes = 256ULL * 1024 * 1024;
};

}
