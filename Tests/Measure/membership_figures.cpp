#include "Measure/membership_figures.h"

#include "Measure/fleet.h"

#include <algorithm>
#include <csignal>
#include <stdexcept>

namespace vanillashunt {

namespace {

    constexpr std::size_t eventsOfAKind = 3;
    constexpr std::size_t contractChanges = 5;

    std::string contractText(std::size_t number)
    {
        return "customer = \"hotel-seri\"\nshare = 0." + std::to_string(number + 1) + R"(
[[class]]
name = "details"
service = "stay"
method = "GET"
path = "/details"
idempotent = true
importance = "interactive"
deadline = "2s"
target = 0.99
retries = 1
)";
    }

    // The member of that name as a dump tells of it; null where it tells nothing.
    Json::Value memberOf(const Json::Value& dump, const std::string& name)
    {
        for (const auto& member : dump["membership"]["members"]) {
            if (member["name"] == name) {
                return member;
            }
        }
        return {};
    }

    void requireComplete(fleet& all)
    {
        if (!all.waitUntilComplete()) {
            throw std::runtime_error("the nodes do not all know each other within 60 s");
        }
    }

    Json::Value measureJoins(fleet& all)
    {
        std::vector<spread_times> joins;
        for (std::size_t i = 0; i < eventsOfAKind; ++i) {
            auto name = all.add(i % all.zoneCount());
            joins.push_back(all.timesUntil("dump", name, [&](const Json::Value& dump) { return memberOf(dump, name)["state"] == "alive"; }));
        }
        return toJson(joins);
    }

    Json::Value measureLeaves(fleet& all)
    {
        std::vector<spread_times> leaves;
        for (std::size_t i = 0; i < eventsOfAKind; ++i) {
            auto name = all.nodes().names().back();
            all.nodes().server(name).node->signal(SIGTERM);
            leaves.push_back(all.timesUntil("dump", name, [&](const Json::Value& dump) {
                auto state = memberOf(dump, name)["state"].asString();
                return state != "alive" && dump["node"].isObject();
            }));
            all.nodes().server(name).node->wait();
            all.nodes().kill(name);
        }
        return toJson(leaves);
    }

    Json::Value measureDeaths(fleet& all)
    {
        std::vector<spread_times> deaths;
        for (std::size_t i = 0; i < eventsOfAKind; ++i) {
            auto name = all.nodes().names().back();
            all.nodes().kill(name);
            deaths.push_back(all.timesUntil("dump", name, [&](const Json::Value& dump) {
                auto state = memberOf(dump, name)["state"].asString();
                return dump["node"].isObject() && state != "alive" && state != "suspect" && state != "draining";
            }));
        }
        return toJson(deaths);
    }

    std::uint64_t deathsDeclared(fleet& all)
    {
        std::uint64_t sum = 0;
        for (const auto& name : all.nodes().names()) {
            sum += all.ask(name, "dump")["membership"]["deaths_declared"].asUInt64();
        }
        return sum;
    }

    // Nodes that run, and that a sampled node does not take for alive.
    std::uint64_t livingTakenForGone(fleet& all)
    {
        std::uint64_t count = 0;
        auto names = all.nodes().names();
        for (const auto& name : all.sample()) {
            auto dump = all.ask(name, "dump");
            count += static_cast<std::uint64_t>(std::count_if(names.begin(), names.end(), [&](const std::string& other) { return memberOf(dump, other)["state"] != "alive"; }));
        }
        return count;
    }

    std::uint64_t peerFetches(fleet& all)
    {
        std::uint64_t sum = 0;
        for (const auto& name : all.nodes().names()) {
            sum += all.ask(name, "dump")["configuration"]["peer_fetches"].asUInt64();
        }
        return sum;
    }

    Json::Value reportHead(const char* scenario, std::size_t nodes, const fleet& all)
    {
        Json::Value report;
        report["scenario"] = scenario;
        report["nodes"] = Json::UInt64(nodes);
        report["zones"] = Json::UInt64(all.zoneCount());
        return report;
    }

}

Json::Value measureMembership(std::size_t nodes)
{
    fleet all(nodes);
    requireComplete(all);
    auto report = reportHead("membership", nodes, all);
    report["quiet"] = all.measureQuiet();
    report["join"] = measureJoins(all);
    requireComplete(all);
    report["leave"] = measureLeaves(all);
    report["false_deaths_before_kills"] = Json::UInt64(deathsDeclared(all));
    report["death"] = measureDeaths(all);
    report["living_taken_for_gone"] = Json::UInt64(livingTakenForGone(all));
    return report;
}

Json::Value measureConfiguration(std::size_t nodes)
{
    fleet all(nodes);
    all.nodes().putContract("hotel-seri", contractText(0));
    requireComplete(all);
    all.timesUntil("status", "", [](const Json::Value& status) { return status["contract_revision"].asInt64() > 0; });
    auto report = reportHead("configuration", nodes, all);
    report["quiet"] = all.measureQuiet();
    auto callsBefore = all.nodes().platform().read("/control/calls");
    auto fetchesBefore = peerFetches(all);
    std::vector<spread_times> changes;
    for (std::size_t i = 1; i <= contractChanges; ++i) {
        auto before = all.ask(all.sample().front(), "status")["contract_revision"].asInt64();
        all.nodes().putContract("hotel-seri", contractText(i));
        changes.push_back(all.timesUntil("status", "", [&](const Json::Value& status) { return status["contract_revision"].asInt64() > before; }));
    }
    report["contract"] = toJson(changes);
    report["peer_fetches_per_change"] = static_cast<double>(peerFetches(all) - fetchesBefore) / contractChanges;
    auto callsAfter = all.nodes().platform().read("/control/calls");
    report["range_calls_in_all_changes"] = callsAfter["range"].asUInt64() - callsBefore["range"].asUInt64();
    return report;
}

}
