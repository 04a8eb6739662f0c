#include "Failures/failing_hotel.h"

#include "Harness/contract_texts.h"

#include <algorithm>
#include <csignal>
#include <stdexcept>
#include <thread>

namespace vanillashunt {

namespace {

    constexpr const char* mix = "name=stay-details,method=GET,path=/stay/details,customer=hotel-seri,weight=0.5,timeout_ms=2000,tree=1;"
                                "name=desk-reply,method=POST,path=/desk/reply,customer=hotel-seri,weight=0.5,keyed=1,timeout_ms=2000,tree=2";

    const std::vector<std::string> zones { "cyberjaya", "shah-alam", "bangsar" };

    // How long the load goes on before the faults, and with them.
    constexpr std::chrono::seconds calmTime { 1 };
    constexpr std::chrono::milliseconds shortestFault { 1000 };
    constexpr std::uint64_t faultSpread = 6000;

    http_fields guest()
    {
        return { { "Vanillashunt-Customer", "hotel-seri" }, { "X-Nonce", "warm-up" } };
    }

}

failing_hotel::failing_hotel(std::uint64_t seed)
    : m_random(seed)
    , m_mesh(mesh_network::ThroughProxy)
{
    m_mesh.putContract("hotel-seri", stayAndDeskContract);
    for (const auto& zone : zones) {
        start("stay", zone);
        start("desk", zone);
    }
    if (!isServing()) {
        throw std::runtime_error("the hotel does not serve");
    }
}

void failing_hotel::start(const std::string& service, const std::string& zone)
{
    server_spec spec;
    spec.name = service + "-" + zone;
    spec.service = service;
    spec.availabilityZone = zone;
    spec.nodeSettings = "log_level = \"error\"\n";
    auto log = m_mesh.folder() / (spec.name + "-" + std::to_string(m_logs.size()) + ".runs");
    spec.backendOptions = { "--service-ms", "5", "--slots", "30", "--log", log.string() };
    if (service == "desk") {
        spec.backendOptions.insert(spec.backendOptions.end(), { "--calls", "stay:/room:GET" });
    }
    m_mesh.add(spec);
    m_logs.push_back({ service, log });
}

bool failing_hotel::isServing()
{
    return m_mesh.waitUntilServing("/stay/details", guest());
}

fault failing_hotel::killNode(const std::string& zone)
{
    auto name = "desk-" + zone;
    return { "node " + name + " killed", [this, name] { m_mesh.server(name).node->kill(); }, [this, name, zone] {
                m_mesh.kill(name);
                start("desk", zone); } };
}

fault failing_hotel::killBackend(const std::string& zone)
{
    auto name = "stay-" + zone;
    return { "backend server " + name + " killed", [this, name] { m_mesh.server(name).backend->process().kill(); }, [this, name, zone] {
                m_mesh.kill(name);
                start("stay", zone); } };
}

fault failing_hotel::freezeNode(const std::string& zone)
{
    auto name = "stay-" + zone;
    return { "node " + name + " frozen", [this, name] { m_mesh.server(name).node->signal(SIGSTOP); },
        [this, name] { m_mesh.server(name).node->signal(SIGCONT); } };
}

fault failing_hotel::cutZone(const std::string& zone, bool bothWays)
{
    std::vector<std::string> others { "platform" };
    std::copy_if(zones.begin(), zones.end(), std::back_inserter(others), [&](const std::string& other) { return other != zone; });
    auto begin = [this, zone, others, bothWays] {
        m_mesh.cutFrom(zone, others);
        for (const auto& other : others) {
            if (bothWays && other != "platform") {
                m_mesh.cutFrom(other, { zone });
            }
        }
    };
    return { "zone " + zone + (bothWays ? " cut" : " cut in one direction"), begin, [this] { m_mesh.heal(); } };
}

fault failing_hotel::storeFault(const std::string& name, const std::string& begin, const std::string& end)
{
    return { name, [this, begin] { m_mesh.platform().control(begin); }, [this, end] { m_mesh.platform().control(end); } };
}

std::vector<fault> failing_hotel::allFaults()
{
    const auto& zone = zones[m_random() % zones.size()];
    return {
        killNode(zone),
        killBackend(zone),
        freezeNode(zones[m_random() % zones.size()]),
        cutZone(zone, true),
        cutZone(zone, false),
        storeFault("store down", R"({"down":true})", R"({"down":false})"),
        storeFault("store slow", R"({"delay_ms":800})", R"({"delay_ms":0})"),
        storeFault("store loses answers", R"({"lose_answers":40})", R"({"lose_answers":0})"),
    };
}

std::vector<run_record> failing_hotel::allRuns() const
{
    std::vector<run_record> all;
    for (const auto& log : m_logs) {
        auto runs = readRunFile(log.service, log.path);
        all.insert(all.end(), runs.begin(), runs.end());
    }
    return all;
}

round_report failing_hotel::playRound()
{
    auto faults = allFaults();
    std::shuffle(faults.begin(), faults.end(), m_random);
    faults.resize(2);
    round_report report;
    report.faults = faults[0].name + ", " + faults[1].name;
    load_run load({ m_mesh.callers(), mix, "100:60", { "--retries", "4", "--retry-delay-ms", "20" }, m_random() });
    std::this_thread::sleep_for(calmTime);
    for (auto& each : faults) {
        each.begin();
    }
    std::this_thread::sleep_for(shortestFault + std::chrono::milliseconds(m_random() % faultSpread));
    for (auto& each : faults) {
        each.end();
    }
    report.servesAgain = isServing();
    load.stopArrivals();
    auto requests = load.finish();
    report.requests = requests.size();
    report.audit = auditRuns({ { "stay-details", "stay", true }, { "desk-reply", "desk", false } }, requests, allRuns());
    return report;
}

}
