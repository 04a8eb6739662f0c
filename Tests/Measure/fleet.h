#pragma once

#include "Harness/mesh.h"

#include <functional>
#include <string>
#include <vector>

namespace vanillashunt {

// When each of the nodes that were looked at knew something.
struct spread_times {
    // Milliseconds after the event, sorted.
    std::vector<double> known;
    std::size_t unknown = 0;
    // The longest time between two looks at one node, which bounds the error.
    double resolution = 0;
};

// Median, 99th percentile and maximum of the times of several events.
Json::Value toJson(const std::vector<spread_times>&);

// Many nodes without backend servers, in up to 18 availability zones of 6 regions.
class fleet {
public:
    explicit fleet(std::size_t nodes);

    mesh& nodes() { return m_mesh; }
    std::size_t zoneCount() const { return m_zoneCount; }

    // Adds one more node to a zone and returns its name; zones are numbered from 0.
    std::string add(std::size_t zone);

    // Up to two nodes of each zone, of those that run still.
    std::vector<std::string> sample();

    // What a method of the operator port answers; null where there is no answer.
    Json::Value ask(const std::string& name, const std::string& method);

    // Looks at the sampled nodes, but for one that is not asked, until each knows.
    spread_times timesUntil(const std::string& method, const std::string& notAsked, const std::function<bool(const Json::Value&)>& knows);

    // Waits until each sampled node knows every node.
    bool waitUntilComplete();

    // What all nodes use and send while nothing happens, and the store's calls.
    Json::Value measureQuiet();

private:
    mesh m_mesh;
    std::size_t m_zoneCount;
    std::size_t m_added = 0;
};

}
