#pragma once

#include "Harness/child_process.h"
#include "RawSocket/raw_socket.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace vanillashunt {

// What one node is started with.
struct routed_node_plan {
    std::string name;
    std::string service;
    std::string storeAddress;
    std::string serverAddress;
    // Peer ports of nodes that it joins.
    std::vector<std::string> join;
    std::string availabilityZone = "a";
    // Zones that share the organisations' limits.
    std::vector<std::string> zones {};
    // Name of the mesh; the address of the store if it is empty.
    std::string mesh {};
    // Further sections of the settings file.
    std::string furtherSettings {};
};

// One node as a real process, with ports that it takes itself.
class routed_node {
public:
    static constexpr std::chrono::seconds longest { 30 };

    // Returns once the node serves.
    explicit routed_node(const routed_node_plan&);
    ~routed_node();

    routed_node(const routed_node&) = delete;
    routed_node& operator=(const routed_node&) = delete;

    // Throws std::runtime_error where no such line comes in time.
    std::string waitForLine(const std::string& text);

    // The address of a port, by the line that tells of the start.
    std::string port(const std::string& which) const;

    // What the server beside the node reports.
    void report(const std::string& state, int sequence, const std::string& service, const std::string& instance = "i-1", std::uint32_t slots = 8);

    // The same by a server that tells when it started, in milliseconds since 1970.
    void reportOfStart(std::int64_t born, const std::string& state, int sequence, const std::string& service, const std::string& instance);

    // Sends a deregistration that names no start.
    void deregister(const std::string& instance);

    // Status of the answer to whether it is ready.
    std::string ready();

    raw_socket begin(const std::string& path = "/x/1", std::chrono::milliseconds deadline = std::chrono::seconds(20));
    // Sends a request over a connection to the caller port.
    void sendRequest(raw_socket&, const std::string& path = "/x/1", std::chrono::milliseconds deadline = std::chrono::seconds(20));
    std::string get(const std::string& path = "/x/1") { return begin(path).readToEnd(); }

    // Asks again until the answer has the status; what is known spreads by itself.
    std::string getUntil(const std::string& status);

    std::unique_ptr<child_process> process;

private:
    void sendReport(const std::string& path, const std::string& body);

    std::string m_file;
    std::string m_started;
    int m_requests = 0;
};

}
