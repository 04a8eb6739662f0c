// The last machine that is left of a site keeps an old configuration for as long as it is alone.
#include "../stand_in_2/world.h"

#include <iostream>

namespace {

using namespace review2;

// The bounds of the site pesan-tetamu.
constexpr double configSeconds = 2;
constexpr double stableWindowSeconds = 3;

constexpr int machineCount = 12;
// All nodes have found each other, and the first waits at the store have ended.
constexpr double settleSeconds = 10;
// A wait at the store lasts four seconds at most; who began none in this time waits for none.
constexpr double watcherSeconds = 4.5;
constexpr double observedSeconds = 20;

const std::vector<std::string> zones { "cyberjaya", "shah-alam", "bangsar" };
const std::vector<std::string> services { "benang", "kaunter", "penginapan", "makluman" };

bool areReady(const std::vector<std::unique_ptr<machine>>& machines)
{
    for (int i = 0; i < 100; ++i) {
        if (std::all_of(machines.begin(), machines.end(), [](const auto& each) { return each->isReady(); })) {
            return true;
        }
        pause(0.1);
    }
    return false;
}

// A machine that does not wait for changes at the store, but is told of them by other machines.
machine* findFollower(const std::vector<std::unique_ptr<machine>>& machines, store& platform)
{
    auto waits = platform.waitsForConfiguration();
    for (const auto& each : machines) {
        auto found = waits.find(each->ip);
        if (found == waits.end() || steady::now() - found->second > std::chrono::duration<double>(watcherSeconds)) {
            return each.get();
        }
    }
    return nullptr;
}

int play(bool hasTrouble, recorder& record)
{
    temporary_folder folder;
    auto block = freeBlock(machineCount);
    if (block.empty()) {
        return exitNotRun;
    }
    store platform(block + "250", storePort);
    if (!platform.start()) {
        return exitNotRun;
    }
    std::vector<planned_route> routes;
    routes.reserve(services.size());
    for (const auto& service : services) {
        routes.push_back({ "r-" + service, "/" + service + "/", service });
    }
    platform.put("op/config", configuration(5, routes, services));
    std::vector<std::unique_ptr<machine>> machines;
    for (int i = 0; i < machineCount; ++i) {
        machines.push_back(std::make_unique<machine>(block + std::to_string(i + 1), zones[i % zones.size()], services[i / zones.size()], record));
        if (!machines.back()->startServer()) {
            return exitNotRun;
        }
    }
    for (auto& each : machines) {
        each->startNode(folder.path, block + "250:" + std::to_string(storePort), { { "zones", R"("cyberjaya", "shah-alam", "bangsar")" } });
    }
    if (!areReady(machines)) {
        record.line("the nodes did not become ready");
        return exitNotRun;
    }
    for (auto& each : machines) {
        each->startHeartbeats();
    }
    pause(settleSeconds);
    auto* last = findFollower(machines, platform);
    if (!last) {
        record.line("every machine waits at the store");
        return exitNotRun;
    }
    auto oldPath = "/" + last->service + "/x";
    auto before = ask(last->ip, oldPath, "before", 2500);
    record.line("machine " + last->ip + " (" + last->service + ", " + last->zone + ") answers " + std::to_string(before.status()) + " on " + oldPath);
    if (before.status() != 200) {
        return exitNotRun;
    }
    if (hasTrouble) {
        record.line("all other machines are lost");
        for (auto& each : machines) {
            if (each.get() != last) {
                each->lose();
            }
        }
    }
    auto lost = steady::now();
    pause(0.5);
    // The next version drops the route of this machine's service and adds another one to it.
    for (auto& each : routes) {
        if (each.service == last->service) {
            each = { "r-added", "/added/", last->service };
        }
    }
    platform.put("op/config", configuration(6, routes, services));
    auto acknowledged = steady::now();
    record.line("the store has acknowledged version 6: " + oldPath + " is dropped, /added/ is new");
    int stale = 0;
    int bound = 0;
    for (int number = 0; steady::now() - acknowledged < std::chrono::duration<double>(observedSeconds); ++number) {
        bool isBound = steady::now() - acknowledged > std::chrono::duration<double>(configSeconds) && steady::now() - lost > std::chrono::duration<double>(stableWindowSeconds);
        auto addedId = "added-" + std::to_string(number);
        auto droppedId = "dropped-" + std::to_string(number);
        auto added = ask(last->ip, "/added/x", addedId, 2500);
        auto dropped = ask(last->ip, oldPath, droppedId, 2500);
        int runs = last->runs(droppedId);
        std::ostringstream line;
        line << (isBound ? "bound: " : "not bound yet: ") << addedId << " gets " << added.status() << "; " << droppedId << " gets " << dropped.status() << " and ran " << runs << " times";
        record.line(line.str());
        bound += isBound ? 2 : 0;
        stale += isBound && added.status() == 404 ? 1 : 0;
        stale += isBound && runs != 0 ? 1 : 0;
        pause(0.5);
    }
    record.line("requests bound by CONFIG: " + std::to_string(bound) + ", handled as only version 5 allows: " + std::to_string(stale));
    std::cout << "bound " << bound << ", stale " << stale << std::endl;
    return stale == 0 ? exitHeld : exitBroken;
}

}

int main(int, char** arguments)
{
    signal(SIGPIPE, SIG_IGN);
    const char* trouble = std::getenv("TROUBLE");
    recorder record(std::string(arguments[1]) + "/record.txt");
    return play(!trouble || std::string(trouble) != "0", record);
}
