#include "RoutedWorld/routed_node.h"

#include <atomic>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace vanillashunt {

namespace {

    std::string settingsFile(const routed_node_plan& plan)
    {
        static std::atomic<int> number = 0;
        auto name = "routed-" + plan.name + "-" + std::to_string(getpid()) + "-" + std::to_string(++number) + ".toml";
        return std::filesystem::temp_directory_path() / name;
    }

    std::string quotedList(const std::vector<std::string>& words)
    {
        std::string text;
        for (const auto& word : words) {
            text += (text.empty() ? "\"" : ", \"") + word + "\"";
        }
        return "[" + text + "]";
    }

}

routed_node::routed_node(const routed_node_plan& plan)
    : m_file(settingsFile(plan))
{
    std::ofstream(m_file) << "[node]\nname = \"" << plan.name << "\"\navailability_zone = \"" << plan.availabilityZone << "\"\nmesh = \"" << (plan.mesh.empty() ? plan.storeAddress : plan.mesh) << "\"\n[peer]\njoin = " << quotedList(plan.join)
                          << "\n[platform]\nendpoints = [\"" << plan.storeAddress << "\"]\n[routes]\nservice = \"" << plan.service
                          << "\"\nserver = \"" << plan.serverAddress << "\"\nzones = " << quotedList(plan.zones) << "\n"
                          << plan.furtherSettings;
    process = std::make_unique<child_process>(std::vector<std::string> { VANILLASHUNT_PATH, "routed-node", m_file });
    m_started = waitForLine("VS100");
}

routed_node::~routed_node()
{
    std::filesystem::remove(m_file);
}

std::string routed_node::waitForLine(const std::string& text)
{
    while (true) {
        auto line = process->readLine(longest);
        if (std::holds_alternative<child_failure>(line)) {
            throw std::runtime_error("no line with " + text);
        }
        auto& words = std::get<std::string>(line);
        if (words.find(text) != std::string::npos) {
            return words;
        }
    }
}

std::string routed_node::port(const std::string& which) const
{
    auto place = m_started.find(' ' + which + "=\"") + which.size() + 3;
    return m_started.substr(place, m_started.find('"', place) - place);
}

namespace {

    std::string reportBody(const std::string& state, int sequence, const std::string& service, std::uint32_t slots, const std::string& more)
    {
        return R"({"service":")" + service + R"(","address":"x","zone":"a","version":"v1","capacity":)" + std::to_string(slots) + R"(,"state":")" + state
            + R"(","warmup_left_s":0,"sequence":)" + std::to_string(sequence) + more + "}";
    }

}

void routed_node::report(const std::string& state, int sequence, const std::string& service, const std::string& instance, std::uint32_t slots)
{
    sendReport("/Instances.Heartbeat/" + instance, reportBody(state, sequence, service, slots, ""));
}

void routed_node::reportOfStart(std::int64_t born, const std::string& state, int sequence, const std::string& service, const std::string& instance)
{
    constexpr std::uint32_t slots = 8;
    sendReport("/Instances.Heartbeat/" + instance, reportBody(state, sequence, service, slots, R"(,"born":)" + std::to_string(born)));
}

void routed_node::deregister(const std::string& instance)
{
    sendReport("/Instances.Deregister/" + instance, "");
}

void routed_node::sendReport(const std::string& path, const std::string& body)
{
    auto socket = raw_socket::connectTo(port("backend"));
    socket.send("POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    if (socket.readUntil("\r\n\r\n").find("200") == std::string::npos) {
        throw std::runtime_error("POST " + path + " was not acknowledged");
    }
}

std::string routed_node::ready()
{
    auto socket = raw_socket::connectTo(port("ready"));
    socket.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    return socket.readUntil("\r\n\r\n").substr(9, 3);
}

raw_socket routed_node::begin(const std::string& path, std::chrono::milliseconds deadline)
{
    auto socket = raw_socket::connectTo(port("caller"));
    sendRequest(socket, path, deadline);
    return socket;
}

void routed_node::sendRequest(raw_socket& socket, const std::string& path, std::chrono::milliseconds deadline)
{
    socket.send("GET " + path + " HTTP/1.1\r\nHost: a.example\r\nVanillashunt-Request-Id: r" + std::to_string(++m_requests)
        + "\r\nVanillashunt-Deadline-Ms: " + std::to_string(deadline.count()) + "\r\nVanillashunt-Caller-Service: forged\r\nConnection: close\r\n\r\n");
}

std::string routed_node::getUntil(const std::string& status)
{
    std::string answer;
    for (int tries = 0; tries < 600; ++tries) {
        answer = get();
        if (answer.substr(9, 3) == status) {
            return answer;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return answer;
}

}
