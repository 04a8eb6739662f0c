#include "PoisonRequests/poison_world.h"

#include <algorithm>
#include <stdexcept>
#include <thread>

namespace vanillashunt {

namespace {

    constexpr const char* service = "desk";

    // Long enough for a server that has ended to be gone, after its node has told so.
    constexpr std::chrono::milliseconds endTime { 200 };

}

poison_world::poison_world(const std::vector<std::size_t>& groupSizes)
{
    m_world.configure(1, service);
    for (std::size_t group = 0; group < groupSizes.size(); ++group) {
        for (std::size_t i = 0; i < groupSizes[group]; ++i) {
            m_places.emplace_back();
            m_places.back().group = group;
        }
    }
    for (std::size_t which = 0; which < m_places.size(); ++which) {
        startServer(m_places[which]);
        startNode(which);
    }
    for (std::size_t which = 0; which < m_places.size(); ++which) {
        serves(which);
    }
}

void poison_world::startServer(place& here)
{
    auto instance = "i-" + std::to_string(&here - m_places.data()) + "-" + std::to_string(++here.starts);
    here.server = std::make_unique<child_process>(std::vector<std::string> { CRASHING_SERVER_PATH, here.port, instance });
    auto line = here.server->readLine(routed_node::longest);
    if (std::holds_alternative<child_failure>(line)) {
        throw std::runtime_error("the server does not start");
    }
    here.port = std::get<std::string>(line);
}

void poison_world::startNode(std::size_t which)
{
    auto& here = m_places[which];
    routed_node_plan plan { "desk-" + std::to_string(which), service, m_world.storeAddress(), "127.0.0.1:" + here.port, {} };
    for (const auto& other : m_places) {
        if (&other != &here && other.group == here.group && other.node) {
            plan.join.push_back(other.node->port("peer"));
        }
    }
    here.node = std::make_unique<routed_node>(plan);
    report(here);
}

void poison_world::report(place& here)
{
    auto instance = "i-" + std::to_string(&here - m_places.data()) + "-" + std::to_string(here.starts);
    here.node->report("ready", 1, service, instance);
}

void poison_world::sendCopy(std::size_t entry)
{
    m_places[entry].node->get("/x/poison");
    startEndedServers();
}

void poison_world::startEndedServers()
{
    for (auto& here : m_places) {
        if (!here.server->wait(endTime / m_places.size())) {
            continue;
        }
        m_ends.push_back(std::chrono::steady_clock::now());
        startServer(here);
        report(here);
    }
}

void poison_world::endServers(std::size_t count, const std::vector<std::size_t>& entries)
{
    for (std::size_t turn = 0; ends() < count; ++turn) {
        auto entry = entries[turn % entries.size()];
        serves(entry);
        sendCopy(entry);
    }
}

void poison_world::storm(std::chrono::milliseconds length)
{
    auto end = std::chrono::steady_clock::now() + length;
    std::vector<std::thread> clients;
    for (auto& here : m_places) {
        clients.emplace_back([&node = *here.node, end] {
            while (std::chrono::steady_clock::now() < end) {
                node.get("/x/poison");
            }
        });
    }
    while (std::chrono::steady_clock::now() < end) {
        startEndedServers();
    }
    for (auto& client : clients) {
        client.join();
    }
}

std::size_t poison_world::endsAfter(std::chrono::steady_clock::time_point time) const
{
    return std::count_if(m_ends.begin(), m_ends.end(), [time](auto end) { return end > time; });
}

void poison_world::killAllNodes()
{
    for (auto& here : m_places) {
        here.node->process->kill();
        here.node.reset();
    }
    for (std::size_t which = 0; which < m_places.size(); ++which) {
        startNode(which);
    }
    for (std::size_t which = 0; which < m_places.size(); ++which) {
        serves(which);
    }
}

}
