#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace vanillashunt {

// One service of a mesh, in the sizes of the brief scaled to one machine.
struct service_plan {
    std::string name;
    // The availability zone of each of its servers.
    std::vector<std::string> zones;
    int slots = 0;
    int connections = 0;
    std::chrono::milliseconds serviceTime { 0 };
    // Options "--on=PREFIX=CALLS" of the backend stand-in.
    std::vector<std::string> onwardCalls;
};

// One kind of request of a mesh.
struct request_plan {
    std::string name;
    std::string method;
    std::string service;
    std::string path;
    std::string importance;
    bool idempotent = true;
    std::chrono::milliseconds deadline { 0 };
    // Part of all requests.
    double weight = 0;
    // Answers in the whole tree.
    int treeSize = 1;
};

// One of the two meshes of the brief.
struct mesh_plan {
    std::string organisation;
    std::vector<service_plan> services;
    std::vector<request_plan> requests;
    // The deep service that scenarios slow down, and that bounds the whole.
    std::string deepService;
    // Slots here for each slot of the brief.
    double scale = 0;
    // Retries that the contract allows for one request.
    int retries = 2;
};

mesh_plan hotelPlan();
mesh_plan hirePlan();

// Requests a second that the deep service's slots carry.
double nominalCapacity(const mesh_plan&);

// The organisation's contract in TOML.
std::string contractText(const mesh_plan&);

// The option --mix of the load stand-in.
std::string loadMix(const mesh_plan&);

}
