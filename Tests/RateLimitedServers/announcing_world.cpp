#include "RateLimitedServers/announcing_world.h"

#include "RawSocket/message_head.h"

#include <csignal>

namespace vanillashunt {

namespace {

    constexpr const char* service = "desk";
    constexpr std::size_t clientsOfAnEntry = 3;
    constexpr std::chrono::milliseconds pause { 10 };

    // Request ids begin with the number of the node where the request enters.
    std::string requestId(std::size_t entry, std::size_t client, int number)
    {
        return std::to_string(entry) + "-" + std::to_string(client) + "-" + std::to_string(number);
    }

}

announcing_world::announcing_world(std::size_t nodes)
    : m_places(nodes)
{
    m_world.configure(1, service);
    for (std::size_t which = 0; which < nodes; ++which) {
        m_places[which].server = std::make_unique<soak_server>(which + 1);
        startNode(which);
    }
    for (auto& here : m_places) {
        here.node->getUntil("200");
    }
}

announcing_world::~announcing_world()
{
    stopClients();
}

void announcing_world::startNode(std::size_t which)
{
    auto& here = m_places[which];
    routed_node_plan plan { "desk-" + std::to_string(which), service, m_world.storeAddress(), here.server->address(), {} };
    for (const auto& other : m_places) {
        if (&other != &here && other.node) {
            plan.join.push_back(other.node->port("peer"));
        }
    }
    here.node = std::make_unique<routed_node>(plan);
    reportReady(which);
    std::lock_guard<std::mutex> lock(m_mutex);
    here.callerPort = here.node->port("caller");
}

void announcing_world::reportReady(std::size_t which)
{
    auto& here = m_places[which];
    here.node->reportOfStart(here.server->born(), "ready", ++here.sequence, service, here.server->instance());
}

void announcing_world::restartNode(std::size_t which)
{
    m_places[which].node->process->kill();
    startNode(which);
}

void announcing_world::stopNode(std::size_t which)
{
    m_places[which].node->process->signal(SIGTERM);
    m_places[which].node->process->wait();
    startNode(which);
}

told_times announcing_world::toldAt(const std::string& requestId, const std::string& start)
{
    auto entry = requestId.empty() || requestId.front() == 'r' ? m_places.size() : std::stoul(requestId);
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_told[{ entry, start }];
}

void announcing_world::recordAnswer(std::size_t entry, const std::string& answer)
{
    auto start = fieldOf(answer, "Vanillashunt-Server-Seal");
    if (start.empty()) {
        return;
    }
    auto now = std::chrono::steady_clock::now();
    std::lock_guard<std::mutex> lock(m_mutex);
    auto& told = m_told[{ entry, start }];
    if (!told.limit && !fieldOf(answer, "Server-Limit").empty()) {
        told.limit = now;
    }
    if (!told.leaving && fieldOf(answer, "Server-Leaving") == "1") {
        told.leaving = now;
    }
}

std::string announcing_world::callerPort(std::size_t which)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_places[which].callerPort;
}

void announcing_world::sendFrom(const std::vector<std::size_t>& entries)
{
    for (auto entry : entries) {
        for (std::size_t client = 0; client < clientsOfAnEntry; ++client) {
            m_clients.emplace_back([this, entry, client] { serveClient(entry, client); });
        }
    }
}

void announcing_world::stopClients()
{
    m_ends = true;
    for (auto& client : m_clients) {
        client.join();
    }
    m_clients.clear();
}

void announcing_world::serveClient(std::size_t entry, std::size_t client)
{
    for (int number = 0; !m_ends; ++number) {
        try {
            auto socket = raw_socket::connectTo(callerPort(entry));
            socket.send("GET /x/" + std::to_string(number) + " HTTP/1.1\r\nHost: a.example\r\nVanillashunt-Request-Id: " + requestId(entry, client, number)
                + "\r\nVanillashunt-Deadline-Ms: 2000\r\nConnection: close\r\n\r\n");
            auto answer = socket.readToEnd();
            m_served += answer.compare(0, 12, "HTTP/1.1 200") == 0 ? 1 : 0;
            recordAnswer(entry, answer);
        } catch (const boost::system::system_error&) {
            // The node is being restarted.
        }
        std::this_thread::sleep_for(pause);
    }
}

}
