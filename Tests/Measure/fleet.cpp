#include "Measure/fleet.h"

#include "Measure/process_usage.h"

#include <algorithm>
#include <map>
#include <thread>

namespace vanillashunt {

namespace {

    using clock = std::chrono::steady_clock;

    constexpr std::size_t mostZones = 18;
    constexpr std::size_t zonesPerRegion = 3;
    // Fewer nodes than this in a zone cannot judge each other.
    constexpr std::size_t leastPerZone = 4;
    constexpr std::size_t sampledPerZone = 2;
    constexpr std::chrono::seconds quietTime { 20 };
    constexpr std::chrono::seconds longestWait { 60 };
    // Of IP and UDP, which the nodes' own counts leave out.
    constexpr double headerBytes = 28;

    double secondsSince(clock::time_point start)
    {
        return std::chrono::duration<double>(clock::now() - start).count();
    }

    double quantile(const std::vector<double>& sorted, double part)
    {
        auto index = static_cast<std::size_t>(part * static_cast<double>(sorted.size()));
        return sorted.empty() ? 0 : sorted[std::min(index, sorted.size() - 1)];
    }

    // Datagrams that a node has sent, or received, and their bytes with headers.
    struct traffic {
        double datagrams = 0;
        double bytes = 0;
    };

    traffic sumOf(const Json::Value& byKind)
    {
        traffic sum;
        for (const auto& kind : byKind) {
            sum.datagrams += kind["datagrams"].asDouble();
            sum.bytes += kind["bytes"].asDouble() + headerBytes * kind["datagrams"].asDouble();
        }
        return sum;
    }

    Json::Value meanAndMaximum(const std::vector<double>& values)
    {
        Json::Value result;
        double sum = 0;
        for (auto value : values) {
            sum += value;
        }
        result["mean"] = sum / static_cast<double>(std::max<std::size_t>(values.size(), 1));
        result["max"] = *std::max_element(values.begin(), values.end());
        return result;
    }

}

Json::Value toJson(const std::vector<spread_times>& events)
{
    std::vector<double> all;
    spread_times sum;
    for (const auto& event : events) {
        all.insert(all.end(), event.known.begin(), event.known.end());
        sum.unknown += event.unknown;
        sum.resolution = std::max(sum.resolution, event.resolution);
    }
    std::sort(all.begin(), all.end());
    Json::Value result;
    result["events"] = Json::UInt64(events.size());
    result["looks"] = Json::UInt64(all.size());
    result["not_known_in_60s"] = Json::UInt64(sum.unknown);
    result["resolution_ms"] = sum.resolution;
    result["p50_ms"] = quantile(all, 0.5);
    result["p99_ms"] = quantile(all, 0.99);
    result["max_ms"] = quantile(all, 1);
    return result;
}

fleet::fleet(std::size_t nodes)
    : m_zoneCount(std::max<std::size_t>(1, std::min(mostZones, nodes / leastPerZone)))
{
    for (std::size_t i = 0; i < nodes; ++i) {
        add(i % m_zoneCount);
    }
}

std::string fleet::add(std::size_t zone)
{
    server_spec spec;
    spec.name = "node-" + std::to_string(++m_added);
    spec.availabilityZone = "z" + std::to_string(zone + 1);
    spec.nodeSettings = "region = \"r" + std::to_string(zone / zonesPerRegion + 1) + "\"\nlog_level = \"error\"\n";
    m_mesh.add(spec);
    return spec.name;
}

std::vector<std::string> fleet::sample()
{
    std::map<std::string, std::size_t> taken;
    std::vector<std::string> names;
    for (const auto& name : m_mesh.names()) {
        if (taken[m_mesh.server(name).spec.availabilityZone]++ < sampledPerZone) {
            names.push_back(name);
        }
    }
    return names;
}

Json::Value fleet::ask(const std::string& name, const std::string& method)
{
    auto body = R"({"jsonrpc":"2.0","id":1,"method":")" + method + R"(","params":{}})";
    auto result = request("POST", m_mesh.server(name).operators(), "/rpc", { { "Content-Type", "application/json" } }, body);
    const auto* answer = std::get_if<http_answer>(&result);
    return answer ? parseJson(answer->body)["result"] : Json::Value();
}

spread_times fleet::timesUntil(const std::string& method, const std::string& notAsked, const std::function<bool(const Json::Value&)>& knows)
{
    spread_times times;
    auto start = clock::now();
    auto waiting = sample();
    waiting.erase(std::remove(waiting.begin(), waiting.end(), notAsked), waiting.end());
    while (!waiting.empty() && clock::now() - start < longestWait) {
        auto roundStart = clock::now();
        std::vector<std::string> left;
        for (const auto& name : waiting) {
            if (knows(ask(name, method))) {
                times.known.push_back(secondsSince(start) * 1000);
            } else {
                left.push_back(name);
            }
        }
        waiting = left;
        times.resolution = std::max(times.resolution, secondsSince(roundStart) * 1000);
    }
    times.unknown = waiting.size();
    std::sort(times.known.begin(), times.known.end());
    return times;
}

bool fleet::waitUntilComplete()
{
    auto count = m_mesh.names().size();
    return timesUntil("dump", "", [&](const Json::Value& dump) { return dump["members"].size() == count; }).unknown == 0;
}

Json::Value fleet::measureQuiet()
{
    auto names = m_mesh.names();
    auto sampled = sample();
    std::map<std::string, process_usage> usageBefore;
    std::map<std::string, Json::Value> dumpBefore;
    for (const auto& name : sampled) {
        dumpBefore[name] = ask(name, "dump")["membership"];
    }
    for (const auto& name : names) {
        usageBefore[name] = usageOf(m_mesh.server(name).node->id());
    }
    auto callsBefore = m_mesh.platform().read("/control/calls");
    auto start = clock::now();
    std::this_thread::sleep_for(quietTime);
    auto seconds = secondsSince(start);
    auto callsAfter = m_mesh.platform().read("/control/calls");
    std::vector<double> cores;
    std::vector<double> megabytes;
    for (const auto& name : names) {
        auto usage = usageOf(m_mesh.server(name).node->id());
        cores.push_back((usage.cpuSeconds - usageBefore[name].cpuSeconds) / seconds);
        megabytes.push_back(usage.residentMegabytes);
    }
    std::map<std::string, std::vector<double>> rates;
    for (const auto& name : sampled) {
        auto dump = ask(name, "dump")["membership"];
        for (const std::string way : { "sent", "received" }) {
            auto before = sumOf(dumpBefore[name][way]);
            auto after = sumOf(dump[way]);
            rates["datagrams_" + way + "_per_second"].push_back((after.datagrams - before.datagrams) / seconds);
            rates["bytes_" + way + "_per_second"].push_back((after.bytes - before.bytes) / seconds);
        }
    }
    Json::Value quiet;
    quiet["seconds"] = seconds;
    quiet["core_per_node"] = meanAndMaximum(cores);
    quiet["resident_mb_per_node"] = meanAndMaximum(megabytes);
    for (const auto& [key, values] : rates) {
        quiet[key] = meanAndMaximum(values);
    }
    for (const char* kind : { "range", "txn", "delete_range", "watch" }) {
        auto calls = callsAfter[kind].asDouble() - callsBefore[kind].asDouble();
        quiet["store_calls_per_zone_and_second"][kind] = calls / seconds / static_cast<double>(m_zoneCount);
    }
    quiet["open_watches"] = callsAfter["open_watches"];
    return quiet;
}

}
