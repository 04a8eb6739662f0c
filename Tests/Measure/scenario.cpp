#include "Measure/scenario.h"

#include "Harness/mesh.h"

#include <iostream>
#include <stdexcept>
#include <thread>

namespace vanillashunt {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr double calmLoad = 0.5;
    constexpr seconds calmTime { 3 };
    constexpr seconds surgeTime { 8 };
    constexpr seconds recoveryTime { 8 };
    constexpr seconds capacityTime { 8 };

    // Clients that repeat hard: at once, several times, whatever they were told.
    constexpr const char* clientRetries = "5";
    constexpr const char* clientRetryDelay = "20";
    // A request that is not whole by then has failed, however often it is repeated.
    constexpr milliseconds clientPatience { 2500 };

    struct load_phase {
        double rate = 0;
        seconds length { 0 };
    };

    scenario makeScenario(const std::string& name, mesh_plan plan, double load, int slowdown)
    {
        scenario result;
        result.name = name;
        result.plan = std::move(plan);
        result.load = load;
        result.slowdown = slowdown;
        return result;
    }

    std::vector<scenario> allScenarios()
    {
        auto compound = makeScenario("compound", hotelPlan(), 2, 3);
        compound.storeDown = true;
        compound.surges = 2;
        return {
            makeScenario("hotel-surge", hotelPlan(), 2, 1),
            makeScenario("hotel-slow-notices", hotelPlan(), 1, 3),
            makeScenario("hire-surge", hirePlan(), 2, 1),
            makeScenario("hire-slow-transport", hirePlan(), 1, 3),
            compound,
        };
    }

    std::string phasesText(const std::vector<load_phase>& phases)
    {
        std::string text;
        for (const auto& phase : phases) {
            text += (text.empty() ? "" : ",") + std::to_string(phase.rate) + ":" + std::to_string(phase.length.count());
        }
        return text;
    }

    // A mesh of real processes for one plan, and the load on it.
    class scenario_mesh {
    public:
        scenario_mesh(const mesh_plan& plan, const std::string& policy)
            : m_plan(plan)
        {
            m_mesh.putContract(plan.organisation, contractText(plan));
            for (const auto& service : plan.services) {
                addServers(service, policy);
            }
            waitUntilServing();
        }

        void setServiceTime(const std::string& service, milliseconds time)
        {
            for (const auto& name : m_names) {
                auto& server = m_mesh.server(name);
                if (server.spec.service == service) {
                    server.backend->control(R"({"service_ms":")" + std::to_string(time.count()) + "\"}");
                }
            }
        }

        void setStoreDown(bool down) { m_mesh.platform().control(std::string(R"({"down":)") + (down ? "true}" : "false}")); }

        // Runs the load and calls the hook at the begin of each phase.
        void load(const std::vector<load_phase>& phases, std::uint64_t seed, const std::function<void(std::size_t)>& phaseBegins)
        {
            load_run load({ targets(), loadMix(m_plan), phasesText(phases),
                { "--retries", clientRetries, "--retry-delay-ms", clientRetryDelay, "--give-up-ms", std::to_string(clientPatience.count()) }, seed });
            m_loadStart = load.started();
            auto next = std::chrono::steady_clock::now();
            for (std::size_t phase = 0; phase < phases.size(); ++phase) {
                phaseBegins(phase);
                next += phases[phase].length;
                std::this_thread::sleep_until(next);
            }
            m_requests = load.finish();
            for (auto& request : m_requests) {
                request.whole = request.whole && request.latency <= clientPatience;
            }
        }

        const std::vector<request_record>& requests() const { return m_requests; }
        std::chrono::system_clock::time_point loadStart() const { return m_loadStart; }

        std::vector<run_record> readAllRuns()
        {
            std::vector<run_record> records;
            for (const auto& name : m_names) {
                auto runs = readRuns(m_mesh.server(name));
                records.insert(records.end(), runs.begin(), runs.end());
            }
            return records;
        }

    private:
        void addServers(const service_plan& service, const std::string& policy)
        {
            int number = 0;
            for (const auto& zone : service.zones) {
                server_spec spec;
                spec.name = service.name + "-" + std::to_string(++number);
                spec.service = service.name;
                spec.availabilityZone = zone;
                spec.nodeSettings = "policy = \"" + policy + "\"\nlog_level = \"error\"\n";
                spec.backendOptions = { "--slots", std::to_string(service.slots), "--connections", std::to_string(service.connections),
                    "--service-ms", std::to_string(service.serviceTime.count()), "--service-distribution", "exponential", "--seed", std::to_string(number) };
                spec.backendOptions.insert(spec.backendOptions.end(), service.onwardCalls.begin(), service.onwardCalls.end());
                m_mesh.add(spec);
                m_names.push_back(spec.name);
            }
        }

        void waitUntilServing()
        {
            const auto& first = m_plan.requests.front();
            http_fields fields { { "Vanillashunt-Customer", m_plan.organisation }, { "X-Nonce", "warm-up" } };
            if (!m_mesh.waitUntilServing("/" + first.service + first.path, fields)) {
                throw std::runtime_error("the mesh does not serve " + first.name);
            }
        }

        std::string targets()
        {
            std::string text;
            for (const auto& name : m_names) {
                text += (text.empty() ? "" : ",") + m_mesh.server(name).caller();
            }
            return text;
        }

        const mesh_plan& m_plan;
        mesh m_mesh;
        std::vector<std::string> m_names;
        std::vector<request_record> m_requests;
        std::chrono::system_clock::time_point m_loadStart;
    };

    milliseconds deepServiceTime(const mesh_plan& plan)
    {
        for (const auto& service : plan.services) {
            if (service.name == plan.deepService) {
                return service.serviceTime;
            }
        }
        throw std::runtime_error("the plan has no service " + plan.deepService);
    }

}

std::optional<scenario> findScenario(const std::string& name)
{
    for (const auto& candidate : allScenarios()) {
        if (candidate.name == name) {
            return candidate;
        }
    }
    return std::nullopt;
}

std::vector<std::string> scenarioNames()
{
    std::vector<std::string> names;
    for (const auto& each : allScenarios()) {
        names.push_back(each.name);
    }
    return names;
}

scenario_run runScenario(const scenario& what, const std::string& policy, double capacity, std::uint64_t seed)
{
    scenario_mesh mesh(what.plan, policy);
    scenario_run run;
    run.offered = capacity * what.load;
    std::vector<load_phase> phases;
    std::vector<bool> isSurge;
    milliseconds at { 0 };
    auto add = [&](double rate, seconds length, bool surge) {
        phases.push_back({ rate, length });
        isSurge.push_back(surge);
        if (surge) {
            run.surges.push_back({ at, at + length });
        }
        at += length;
    };
    add(capacity * calmLoad, calmTime, false);
    for (int surge = 0; surge < what.surges; ++surge) {
        add(run.offered, surgeTime, true);
        add(capacity * calmLoad, recoveryTime, false);
    }
    run.length = at;
    auto normal = deepServiceTime(what.plan);
    mesh.load(phases, seed, [&](std::size_t phase) {
        mesh.setServiceTime(what.plan.deepService, isSurge[phase] ? normal * what.slowdown : normal);
        if (what.storeDown) {
            mesh.setStoreDown(isSurge[phase]);
        }
    });
    run.requests = mesh.requests();
    run.started = mesh.loadStart();
    run.runs = mesh.readAllRuns();
    return run;
}

double measureCapacity(const scenario& what, const std::string& policy, std::uint64_t seed)
{
    scenario_mesh mesh(what.plan, policy);
    mesh.load({ { nominalCapacity(what.plan) * calmLoad, seconds(2) }, { nominalCapacity(what.plan), capacityTime } }, seed, [](std::size_t) {});
    std::size_t whole = 0;
    for (const auto& request : mesh.requests()) {
        whole += request.whole && request.sent >= seconds(2) ? 1 : 0;
    }
    return static_cast<double>(whole) / static_cast<double>(capacityTime.count());
}

}
