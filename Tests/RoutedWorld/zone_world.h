#pragma once

#include "RoutedWorld/platform_world.h"
#include "RoutedWorld/routed_node.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace vanillashunt {

// Nodes of one zone, of which three wait for changes at the store and the others are told of them.
struct zone_world {
    static constexpr const char* service = "desk";

    explicit zone_world(std::size_t count)
    {
        world.configure(version, service);
        for (std::size_t which = 0; which < count; ++which) {
            storeAddresses.push_back(world.addStoreAddress());
            routed_node_plan plan { "desk-" + std::to_string(which), service, storeAddresses.back(), world.serverAddress(), {} };
            plan.mesh = "mesh";
            for (const auto& node : nodes) {
                plan.join.push_back(node->port("peer"));
            }
            nodes.push_back(std::make_unique<routed_node>(plan));
        }
        for (auto& node : nodes) {
            node->report("ready", 1, service);
            node->getUntil("200");
            waitForAllMembers(*node);
        }
    }

    void waitForAllMembers(const routed_node& node) const
    {
        while (knownMembers(node) != nodes.size()) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }

    static std::size_t knownMembers(const routed_node& node)
    {
        const std::string metric = "\nvanillashunt_members ";
        auto socket = raw_socket::connectTo(node.port("operator"));
        socket.send("GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        auto text = socket.readToEnd();
        return std::stoul(text.substr(text.find(metric) + metric.size()));
    }

    // Tells the watchers from the others, once so many nodes wait for changes at the store.
    void findWatchers(std::size_t watcherCount = 3)
    {
        std::set<std::string> watched;
        while (watched.size() != watcherCount) {
            world.takeWatchedAddresses();
            std::this_thread::sleep_for(std::chrono::milliseconds(500));
            watched = world.takeWatchedAddresses();
        }
        watchers.clear();
        followers.clear();
        for (std::size_t which = 0; which < nodes.size(); ++which) {
            (watched.count(storeAddresses[which]) != 0 ? watchers : followers).push_back(which);
        }
    }

    // Puts another version into the store; returns the line by which a node tells that it is in force.
    std::string change()
    {
        world.configure(++version, service);
        return "version=\"" + std::to_string(version) + "\"";
    }

    // Puts another version into the store, in which one organisation has these keys.
    void putKeys(const std::vector<std::string>& keys)
    {
        std::string list;
        for (const auto& key : keys) {
            list += (list.empty() ? "\"" : ",\"") + key + "\"";
        }
        world.putConfiguration(R"({"version":"r)" + std::to_string(++version) + R"(","resources":[
            {"type":"routes","metadata":{"name":"one"},"spec":{"host":"a.example","prefix":"/x/","kind":"idempotent","timeout_s":20,"target_latency_s":1,"priority":0,"service":"desk","max_attempts":2}},
            {"type":"tenants","metadata":{"name":"hotel"},"spec":{"api_keys":[)"
            + list + R"(],"priority":1,"rate_per_s":0,"burst":0}}]})");
    }

    // Sends requests with the key until one is answered with the status; returns that, or what the last one got.
    static std::string getUntil(routed_node& node, const std::string& key, const std::string& status)
    {
        std::string latest;
        auto begun = std::chrono::steady_clock::now();
        while (latest != status && std::chrono::steady_clock::now() - begun < routed_node::longest) {
            auto socket = raw_socket::connectTo(node.port("caller"));
            socket.send("GET /x/1 HTTP/1.1\r\nHost: a.example\r\nVanillashunt-Request-Id: k\r\nVanillashunt-Deadline-Ms: 5000\r\nConnection: close\r\nApi-Key: " + key + "\r\n\r\n");
            auto answer = socket.readToEnd();
            latest = answer.size() < 12 ? "" : answer.substr(9, 3);
        }
        return latest;
    }

    // Signals all nodes but these.
    void signalOthers(const std::vector<std::size_t>& spared, int signal)
    {
        for (std::size_t which = 0; which < nodes.size(); ++which) {
            if (std::find(spared.begin(), spared.end(), which) == spared.end()) {
                nodes[which]->process->signal(signal);
            }
        }
    }

    // Waits until the node tells that it has changed to this version, and to no older one before.
    void expectChange(std::size_t which, const std::string& line) const
    {
        auto told = nodes[which]->waitForLine("VS131");
        while (told.find(line) == std::string::npos) {
            told = nodes[which]->waitForLine("VS131");
        }
    }

    platform_world world;
    int version = 1;
    std::vector<std::string> storeAddresses;
    std::vector<std::unique_ptr<routed_node>> nodes;
    std::vector<std::size_t> watchers;
    std::vector<std::size_t> followers;
};

}
