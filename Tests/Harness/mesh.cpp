#include "Harness/mesh.h"

#include <boost/beast/core/detail/base64.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <stdexcept>

namespace vanillashunt {

namespace {

    constexpr unsigned statusOk = 200;

    // How rules of the proxy name the platform.
    const std::string platformZone = "platform";

    std::string listenLines(const std::string& section, const std::string& host)
    {
        return "[" + section + "]\nlisten = \"" + host + ":0\"\n";
    }

    std::string base64Text(const std::string& bytes)
    {
        namespace base64 = boost::beast::detail::base64;
        std::string text(base64::encoded_size(bytes.size()), '\0');
        text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
        return text;
    }

    std::filesystem::path makeFolder()
    {
        auto pattern = (std::filesystem::temp_directory_path() / "vanillashunt-XXXXXX").string();
        if (!mkdtemp(pattern.data())) {
            throw std::runtime_error("cannot make a folder for settings files");
        }
        return pattern;
    }

}

mesh::mesh(mesh_network network)
    : m_folder(makeFolder())
    , m_platform({ "platform" })
{
    if (network == mesh_network::Direct) {
        addEndpoint(m_platform.address());
        return;
    }
    m_proxy = std::make_unique<fault_proxy>();
    addEndpoint(m_proxy->add(platformZone, platformZone, "tcp"));
    m_proxy->lead(platformZone, m_platform.address());
}

mesh::~mesh()
{
    m_servers.clear();
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

void mesh::addEndpoint(const std::string& address)
{
    m_endpoints += (m_endpoints.empty() ? "\"" : ", \"") + address + "\"";
}

void mesh::putContractAt(const stand_in& platform, const std::string& organisation, const std::string& text)
{
    auto body = R"({"key":")" + base64Text("/vanillashunt/contracts/" + organisation) + R"(","value":")" + base64Text(text) + "\"}";
    auto result = request("POST", platform.address(), "/v3/kv/put", { { "Content-Type", "application/json" } }, body);
    auto* answer = std::get_if<http_answer>(&result);
    if (!answer || answer->status != statusOk) {
        throw std::runtime_error("the platform stand-in took no contract of " + organisation);
    }
}

// Every zone has a loopback address of its own.
std::string mesh::hostOf(const std::string& zone)
{
    auto found = std::find(m_zones.begin(), m_zones.end(), zone);
    auto number = found - m_zones.begin() + 1;
    if (found == m_zones.end()) {
        m_zones.push_back(zone);
    }
    return "127.0." + std::to_string(number) + ".1";
}

std::string mesh::peerSections(const server_spec& spec)
{
    if (!m_proxy) {
        return spec.peerSettings.empty() ? "" : "[peer]\n" + spec.peerSettings;
    }
    // The other nodes reach a node's ports through the proxy only.
    auto host = hostOf(spec.availabilityZone);
    auto peer = m_proxy->add(spec.name + "-peer", spec.availabilityZone, "both");
    auto operators = m_proxy->add(spec.name + "-operator", spec.availabilityZone, "tcp");
    return listenLines("caller", host) + listenLines("backend", host)
        + listenLines("peer", host) + "advertise = \"" + peer + "\"\n" + spec.peerSettings
        + listenLines("operators", host) + "advertise = \"" + operators + "\"\n";
}

std::string mesh::settingsFile(const server_spec& spec)
{
    auto path = m_folder / (spec.name + ".toml");
    std::ofstream file(path);
    file << "[node]\nname = \"" << spec.name << "\"\navailability_zone = \"" << spec.availabilityZone << "\"\n"
         << "mesh = \"" << (spec.meshName.empty() ? name() : spec.meshName) << "\"\n"
         << spec.nodeSettings
         << (m_proxy ? "outgoing_address = \"" + hostOf(spec.availabilityZone) + "\"\n" : "")
         << "[platform]\nendpoints = [" << m_endpoints << "]\n"
         << peerSections(spec)
         << spec.settings;
    return path.string();
}

mesh_server& mesh::add(const server_spec& spec)
{
    auto server = std::make_unique<mesh_server>();
    server->spec = spec;
    server->node = std::make_unique<child_process>(std::vector<std::string> { VANILLASHUNT_PATH, "node", settingsFile(spec) });
    server->nodeReady = server->node->readReady();
    if (m_proxy) {
        m_proxy->lead(spec.name + "-peer", server->nodeReady["peer"].asString());
        m_proxy->lead(spec.name + "-operator", server->operators());
    }
    if (!spec.service.empty()) {
        startBackend(*server);
    }
    auto& place = m_servers[spec.name];
    place = std::move(server);
    return *place;
}

void mesh::startBackend(mesh_server& server)
{
    const auto& spec = server.spec;
    std::vector<std::string> arguments { "backend", "--service", spec.service, "--server", spec.name,
        "--node-backend", server.nodeReady["backend"].asString(), "--node-caller", server.caller() };
    arguments.insert(arguments.end(), spec.backendOptions.begin(), spec.backendOptions.end());
    server.backend = std::make_unique<stand_in>(arguments);
}

void mesh::cutFrom(const std::string& zone, const std::vector<std::string>& otherZones)
{
    auto host = hostOf(zone);
    m_proxy->cut({ { host.substr(0, host.rfind('.') + 1) }, otherZones });
}

void mesh::kill(const std::string& name)
{
    auto& server = *m_servers.at(name);
    server.node->kill();
    if (server.backend) {
        server.backend->process().kill();
    }
    m_servers.erase(name);
}

std::vector<std::string> mesh::names() const
{
    std::vector<std::string> result;
    for (const auto& [name, server] : m_servers) {
        result.push_back(name);
    }
    return result;
}

std::string mesh::callers() const
{
    std::string text;
    for (const auto& [name, server] : m_servers) {
        text += (text.empty() ? "" : ",") + server->caller();
    }
    return text;
}

bool mesh::waitUntilServing(const std::string& path, const http_fields& fields)
{
    return waitUntil([&] {
        for (auto& [name, server] : m_servers) {
            auto result = request("GET", server->caller(), path, fields);
            auto* answer = std::get_if<http_answer>(&result);
            if (!answer || answer->status != statusOk) {
                return false;
            }
        }
        return true;
    });
}

std::optional<child_end> mesh::stopNode(const std::string& name)
{
    auto& node = *m_servers.at(name)->node;
    node.signal(SIGTERM);
    return node.wait();
}

}
