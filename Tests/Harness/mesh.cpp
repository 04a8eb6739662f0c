#include "Harness/mesh.h"

#include <boost/beast/core/detail/base64.hpp>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <stdexcept>

namespace vanillashunt {

namespace {

    constexpr unsigned statusOk = 200;

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

mesh::mesh()
    : m_folder(makeFolder())
    , m_platform({ "platform" })
{
}

mesh::~mesh()
{
    m_servers.clear();
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

void mesh::putContract(const std::string& customer, const std::string& text)
{
    auto body = R"({"key":")" + base64Text("/vanillashunt/contracts/" + customer) + R"(","value":")" + base64Text(text) + "\"}";
    auto result = request("POST", m_platform.address(), "/v3/kv/put", { { "Content-Type", "application/json" } }, body);
    auto* answer = std::get_if<http_answer>(&result);
    if (!answer || answer->status != statusOk) {
        throw std::runtime_error("the platform stand-in took no contract of " + customer);
    }
}

std::string mesh::settingsFile(const server_spec& spec) const
{
    auto path = m_folder / (spec.name + ".toml");
    std::ofstream file(path);
    file << "[node]\nname = \"" << spec.name << "\"\navailability_zone = \"" << spec.availabilityZone << "\"\n"
         << spec.nodeSettings
         << "[platform]\nendpoints = [\"" << m_platform.address() << "\"]\n"
         << spec.settings;
    return path.string();
}

mesh_server& mesh::add(const server_spec& spec)
{
    auto server = std::make_unique<mesh_server>();
    server->spec = spec;
    server->node = std::make_unique<child_process>(std::vector<std::string> { VANILLASHUNT_PATH, "node", settingsFile(spec) });
    server->nodeReady = server->node->readReady();
    std::vector<std::string> arguments { "backend", "--service", spec.service, "--server", spec.name,
        "--node-backend", server->nodeReady["backend"].asString(), "--node-caller", server->caller() };
    arguments.insert(arguments.end(), spec.backendOptions.begin(), spec.backendOptions.end());
    server->backend = std::make_unique<stand_in>(arguments);
    auto& place = m_servers[spec.name];
    place = std::move(server);
    return *place;
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
