#pragma once

#include "Harness/child_process.h"
#include "Harness/fault_proxy.h"
#include "Harness/http_client.h"
#include "Harness/stand_in.h"

#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace vanillashunt {

// One backend server that a mesh is to have, and its node.
struct server_spec {
    // Names the server and its node; unique in the mesh.
    std::string name;
    // Empty for a node without a backend server.
    std::string service;
    std::string availabilityZone;
    // Further options of the backend stand-in, for example "--slots=4".
    std::vector<std::string> backendOptions;
    // Further lines of the node's settings file: sections, and keys of its section "node".
    std::string settings;
    std::string nodeSettings = {};
    // Further lines of the file's section "peer".
    std::string peerSettings = {};
    // The mesh name in the node's settings; if empty, that of the mesh it is added to.
    std::string meshName = {};
};

// How the processes of a mesh reach each other.
enum class mesh_network {
    Direct,
    // Between zones, and to the platform, through one proxy stand-in; the processes of
    // each zone have source addresses of their own.
    ThroughProxy,
};

// A node and the backend stand-in beside it.
struct mesh_server {
    server_spec spec;
    std::unique_ptr<child_process> node;
    Json::Value nodeReady;
    std::unique_ptr<stand_in> backend;

    // Where the node takes callers: "IP:port".
    std::string caller() const { return nodeReady["caller"].asString(); }

    // The node's operator port.
    std::string operators() const { return nodeReady["operator"].asString(); }
};

// A platform stand-in and the nodes and backend servers of a test, as real
// processes on loopback addresses; all end with the object.
class mesh {
public:
    explicit mesh(mesh_network = mesh_network::Direct);
    ~mesh();

    mesh(const mesh&) = delete;
    mesh& operator=(const mesh&) = delete;

    // Writes a contract into the platform's store.
    void putContract(const std::string& organisation, const std::string& text) { putContractAt(m_platform, organisation, text); }
    static void putContractAt(const stand_in& platform, const std::string& organisation, const std::string& text);

    // Names a further endpoint of the platform to nodes that are added later.
    void addEndpoint(const std::string& address);

    mesh_server& add(const server_spec&);
    std::map<std::string, std::unique_ptr<mesh_server>>& servers() { return m_servers; }
    mesh_server& server(const std::string& name) { return *m_servers.at(name); }
    stand_in& platform() { return m_platform; }

    // Cuts what a zone sends to the others and gets in answer; "platform" names the platform.
    void cutFrom(const std::string& zone, const std::vector<std::string>& otherZones);

    // Ends every cut.
    void heal() { m_proxy->heal(); }

    // Kills the node and the backend server of that name and forgets both.
    void kill(const std::string& name);

    // The mesh name in the settings of its nodes, unless the server_spec sets another.
    std::string name() const { return m_folder.filename().string(); }

    // Redirects the peer address of a killed node to another node. Requires mesh_network::ThroughProxy.
    void redirectPeerAddress(const std::string& killedName, const mesh_server& target) { m_proxy->lead(killedName + "-peer", target.nodeReady["peer"].asString()); }

    std::vector<std::string> names() const;

    // Waits until a request of that kind is answered through every node.
    bool waitUntilServing(const std::string& path, const http_fields&);

    // Ends a server's node by SIGTERM and waits for its exit.
    std::optional<child_end> stopNode(const std::string& name);

    // Where nodes' settings and servers' run logs are, until the mesh ends.
    const std::filesystem::path& folder() const { return m_folder; }

    // The callers' addresses of all nodes, as the load stand-in takes them.
    std::string callers() const;

private:
    std::string settingsFile(const server_spec&);
    std::string peerSections(const server_spec&);
    std::string hostOf(const std::string& zone);
    void startBackend(mesh_server&);

    std::filesystem::path m_folder;
    stand_in m_platform;
    std::unique_ptr<fault_proxy> m_proxy;
    std::string m_endpoints;
    // In the order of their first server; the order gives the zone's addresses.
    std::vector<std::string> m_zones;
    std::map<std::string, std::unique_ptr<mesh_server>> m_servers;
};

}
