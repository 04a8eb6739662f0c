#include "Measure/mesh_plan.h"

#include <sstream>

namespace vanillashunt {

namespace {

    using std::chrono::milliseconds;

    constexpr double scaleToOneMachine = 0.1;

    const service_plan& serviceNamed(const mesh_plan& plan, const std::string& name)
    {
        for (const auto& service : plan.services) {
            if (service.name == name) {
                return service;
            }
        }
        return plan.services.front();
    }

}

mesh_plan hotelPlan()
{
    const std::vector<std::string> zones { "cyberjaya", "shah-alam", "bangsar" };
    mesh_plan plan;
    plan.organisation = "hotel-seri";
    plan.scale = scaleToOneMachine;
    plan.deepService = "notices";
    plan.services = {
        { "threads", zones, 12, 80, milliseconds(10), { "--on=/=stay:/room:GET" } },
        { "desk", zones, 12, 80, milliseconds(10), { "--on=/=stay:/room:GET" } },
        { "stay", zones, 12, 80, milliseconds(10), { "--on=/=notices:/current:GET" } },
        { "notices", zones, 3, 25, milliseconds(40), {} },
    };
    plan.requests = {
        { "thread-history", "GET", "threads", "/history", "deferrable", true, milliseconds(1500), 0.45, 3 },
        { "stay-details", "GET", "stay", "/details", "interactive", true, milliseconds(1500), 0.2, 2 },
        { "notices", "GET", "notices", "/list", "deferrable", true, milliseconds(1500), 0.2, 1 },
        { "desk-reply", "POST", "desk", "/reply", "confirmed", false, milliseconds(2000), 0.15, 3 },
    };
    return plan;
}

mesh_plan hirePlan()
{
    const std::vector<std::string> three { "athlone", "tullamore", "mullingar" };
    mesh_plan plan;
    plan.organisation = "corrib-hire";
    plan.scale = scaleToOneMachine;
    plan.deepService = "transport";
    plan.services = {
        { "availability", { "athlone", "tullamore", "mullingar", "athlone" }, 5, 38, milliseconds(10), { "--on=/=transport:/slots:GET" } },
        { "bookings", three, 6, 47, milliseconds(10), { "--on=/=pricing:/rate:GET,transport:/slots:GET" } },
        { "pricing", three, 6, 47, milliseconds(10), {} },
        { "transport", three, 2, 22, milliseconds(25), {} },
    };
    plan.requests = {
        { "check-stock", "GET", "availability", "/stock", "deferrable", true, milliseconds(1500), 0.5, 2 },
        { "quote", "GET", "pricing", "/quote", "interactive", true, milliseconds(1500), 0.2, 1 },
        { "hire-order", "POST", "bookings", "/order", "confirmed", false, milliseconds(2000), 0.15, 3 },
        { "delivery-docket", "POST", "transport", "/docket", "confirmed", false, milliseconds(2000), 0.15, 1 },
    };
    return plan;
}

double nominalCapacity(const mesh_plan& plan)
{
    const auto& deep = serviceNamed(plan, plan.deepService);
    auto slots = static_cast<double>(deep.slots) * static_cast<double>(deep.zones.size());
    double part = 0;
    for (const auto& request : plan.requests) {
        bool reachesDeep = request.treeSize > 1 || request.service == plan.deepService;
        part += reachesDeep ? request.weight : 0;
    }
    return slots / std::chrono::duration<double>(deep.serviceTime).count() / part;
}

std::string contractText(const mesh_plan& plan)
{
    std::ostringstream text;
    text << "customer = \"" << plan.organisation << "\"\nshare = 1.0\n";
    for (const auto& request : plan.requests) {
        text << "[[class]]\nname = \"" << request.name << "\"\nservice = \"" << request.service << "\"\nmethod = \"" << request.method
             << "\"\npath = \"" << request.path << "\"\nidempotent = " << (request.idempotent ? "true" : "false")
             << "\nimportance = \"" << request.importance << "\"\ndeadline = \"" << request.deadline.count()
             << "ms\"\ntarget = 0.99\nretries = " << plan.retries << "\n";
    }
    return text.str();
}

std::string loadMix(const mesh_plan& plan)
{
    std::ostringstream mix;
    for (const auto& request : plan.requests) {
        mix << (mix.tellp() > 0 ? ";" : "") << "name=" << request.name << ",method=" << request.method << ",path=/" << request.service << request.path
            << ",customer=" << plan.organisation << ",weight=" << request.weight << ",keyed=" << (request.idempotent ? 0 : 1)
            << ",timeout_ms=" << request.deadline.count() << ",tree=" << request.treeSize;
    }
    return mix.str();
}

}
