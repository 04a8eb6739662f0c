#include "Measure/path_cost.h"

#include "Harness/load_run.h"
#include "Measure/process_usage.h"

#include <algorithm>
#include <stdexcept>
#include <thread>

namespace vanillashunt {

namespace {

    constexpr const char* contractText = R"(
customer = "hotel-seri"
share = 1.0

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

    // Each call passes two nodes, so a node carries twice its part of this: about
    // the 127 calls a second that a node has at the size that the users aim at.
    constexpr const char* callsPerSecond = "190";
    constexpr const char* loadPhase = "190:8";
    constexpr std::chrono::seconds idleTime { 5 };

    // Two services in three zones; callers enter at the nodes of the one and call the other.
    class path_mesh {
    public:
        path_mesh()
        {
            m_mesh.putContract("hotel-seri", contractText);
            for (const std::string zone : { "cyberjaya", "shah-alam", "bangsar" }) {
                add("stay-" + zone, "stay", zone);
                add("desk-" + zone, "desk", zone);
                m_entries += (m_entries.empty() ? "" : ",") + m_mesh.server("desk-" + zone).caller();
                m_servers += (m_servers.empty() ? "" : ",") + m_mesh.server("stay-" + zone).backend->address();
            }
            if (!m_mesh.waitUntilServing("/stay/details", { { "Vanillashunt-Customer", "hotel-seri" }, { "X-Nonce", "warm-up" } })) {
                throw std::runtime_error("the mesh does not serve");
            }
        }

        const std::string& entries() const { return m_entries; }
        const std::string& servers() const { return m_servers; }

        process_usage entryUsage() { return usageOf(m_mesh.server("desk-cyberjaya").node->id()); }

        std::vector<double> latencies(const std::string& targets, std::uint64_t seed)
        {
            load_run load({ targets, "name=details,path=/stay/details,customer=hotel-seri,timeout_ms=2000,tree=1", loadPhase, {}, seed });
            std::vector<double> result;
            for (const auto& request : load.finish()) {
                if (!request.whole) {
                    throw std::runtime_error("a request failed at half load");
                }
                result.push_back(std::chrono::duration<double, std::milli>(request.exactLatency).count());
            }
            std::sort(result.begin(), result.end());
            return result;
        }

    private:
        void add(const std::string& name, const std::string& service, const std::string& zone)
        {
            server_spec spec;
            spec.name = name;
            spec.service = service;
            spec.availabilityZone = zone;
            spec.backendOptions = { "--service-ms", "4", "--slots", "8" };
            spec.nodeSettings = "log_level = \"error\"\n";
            m_mesh.add(spec);
        }

        mesh m_mesh;
        std::string m_entries;
        std::string m_servers;
    };

    Json::Value quantiles(const std::vector<double>& sorted)
    {
        Json::Value result;
        result["p50"] = sorted[sorted.size() / 2];
        result["p99"] = sorted[sorted.size() * 99 / 100];
        return result;
    }

}

Json::Value measurePathCost(std::uint64_t seed)
{
    path_mesh mesh;
    auto idleBegin = mesh.entryUsage();
    std::this_thread::sleep_for(idleTime);
    auto idleEnd = mesh.entryUsage();
    auto direct = mesh.latencies(mesh.servers(), seed);
    auto busyBegin = mesh.entryUsage();
    auto through = mesh.latencies(mesh.entries(), seed);
    auto busyEnd = mesh.entryUsage();
    Json::Value report;
    report["scenario"] = "path";
    report["seed"] = Json::UInt64(seed);
    report["calls_per_second"] = callsPerSecond;
    report["direct_ms"] = quantiles(direct);
    report["through_ms"] = quantiles(through);
    report["added_ms"]["p50"] = report["through_ms"]["p50"].asDouble() - report["direct_ms"]["p50"].asDouble();
    report["added_ms"]["p99"] = report["through_ms"]["p99"].asDouble() - report["direct_ms"]["p99"].asDouble();
    auto idleSeconds = std::chrono::duration<double>(idleTime).count();
    auto idleCore = (idleEnd.cpuSeconds - idleBegin.cpuSeconds) / idleSeconds;
    auto entryCalls = static_cast<double>(through.size()) / 3;
    report["idle_core"] = idleCore;
    report["idle_resident_mb"] = idleEnd.residentMegabytes;
    report["busy_resident_mb"] = busyEnd.residentMegabytes;
    report["entry_cpu_us_per_call"] = (busyEnd.cpuSeconds - busyBegin.cpuSeconds) * 1e6 / entryCalls;
    return report;
}

}
