#include "PoisonRequests/poison_world.h"

#include <algorithm>
#include <csignal>
#include <stdexcept>
#include <thread>

namespace vanillashunt {

namespace {

    constexpr const char* service = "desk";

    // Long enough for a server that has ended to be gone, after its node has told so.
    constexpr std::chrono::milliseconds endTime { 200 };

    // Within which a request that was sent is at some server.
    constexpr std::chrono::milliseconds runBegins { 20 };

    // How long a node is frozen, or the store away.
    constexpr std::chrono::milliseconds faultTime { 300 };

    // One copy; a node that is not there is asked again a moment later.
    void askForPoison(const std::string& address, int copy)
    {
        try {
            auto socket = raw_socket::connectTo(address);
            socket.send("GET /x/poison HTTP/1.1\r\nHost: a.example\r\nVanillashunt-Request-Id: c" + address + "-" + std::to_string(copy)
                + "\r\nVanillashunt-Deadline-Ms: 2000\r\nConnection: close\r\n\r\n");
            socket.readToEnd();
        } catch (const boost::system::system_error&) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    }

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
    std::lock_guard<std::mutex> lock(m_mutex);
    here.callerPort = here.node->port("caller");
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

std::string poison_world::callerAddress(const place& here)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return here.callerPort;
}

void poison_world::storm(std::chrono::milliseconds length, std::chrono::milliseconds faultsEnd, std::uint64_t seed)
{
    auto begin = std::chrono::steady_clock::now();
    std::vector<std::thread> clients;
    for (auto& here : m_places) {
        clients.emplace_back([this, &here, end = begin + length] {
            for (int copy = 0; std::chrono::steady_clock::now() < end; ++copy) {
                askForPoison(callerAddress(here), copy);
            }
        });
    }
    std::mt19937_64 random(seed);
    while (std::chrono::steady_clock::now() < begin + length) {
        if (std::chrono::steady_clock::now() < begin + faultsEnd) {
            breakSomething(random);
            m_lastFault = std::chrono::steady_clock::now();
        }
        startEndedServers();
    }
    for (auto& client : clients) {
        client.join();
    }
}

void poison_world::breakSomething(std::mt19937_64& random)
{
    auto which = random() % m_places.size();
    auto& here = m_places[which];
    switch (random() % 3) {
    case 0:
        here.node->process->kill();
        startNode(which);
        break;
    case 1:
        here.node->process->signal(SIGSTOP);
        std::this_thread::sleep_for(faultTime);
        here.node->process->signal(SIGCONT);
        break;
    default:
        m_world.setStoreDown(true);
        startEndedServers();
        std::this_thread::sleep_for(faultTime);
        m_world.setStoreDown(false);
    }
}

std::size_t poison_world::endsAfter(std::chrono::steady_clock::time_point time) const
{
    return std::count_if(m_ends.begin(), m_ends.end(), [time](auto end) { return end > time; });
}

void poison_world::loseAllServers()
{
    std::vector<raw_socket> requests;
    for (auto& here : m_places) {
        while (std::holds_alternative<child_failure>(here.server->readLine(runBegins))) {
            auto& entry = m_places[requests.size() % m_places.size()];
            requests.push_back(entry.node->begin("/x/slow-" + std::to_string(requests.size())));
        }
    }
    for (auto& here : m_places) {
        here.server->signal(SIGKILL);
    }
    for (auto& here : m_places) {
        here.node->waitForLine("VS113");
    }
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
