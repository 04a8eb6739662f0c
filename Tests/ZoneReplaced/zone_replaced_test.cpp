#include "Harness/mesh.h"

#include <gtest/gtest.h>

namespace vanillashunt {

namespace {

    constexpr const char* contractText = R"(
customer = "hotel-seri"
share = 1.0

[[class]]
name = "reply"
service = "desk"
method = "GET"
path = "/reply"
idempotent = true
importance = "confirmed"
deadline = "5s"
target = 0.999
retries = 2
)";

    const std::vector<std::string> zones { "cyberjaya", "shah-alam", "bangsar" };
    const std::string lostZone = "bangsar";

    http_fields guest()
    {
        return { { "Vanillashunt-Customer", "hotel-seri" }, { "X-Nonce", "n" } };
    }

    std::string nameOf(const std::string& service, const std::string& zone)
    {
        return service + "-" + zone;
    }

    void addZone(mesh& hotel, const std::string& zone, const std::string& peerSettings)
    {
        for (const std::string service : { "desk", "stay", "rooms" }) {
            server_spec spec;
            spec.name = nameOf(service, zone);
            spec.service = service;
            spec.availabilityZone = zone;
            spec.peerSettings = peerSettings;
            if (service == "desk") {
                spec.backendOptions = { "--calls", "stay:/details:GET" };
            }
            hotel.add(spec);
        }
    }

    // Whether a request that enters in the zone is answered whole by servers of the zone.
    bool zoneServes(mesh& hotel, const std::string& zone)
    {
        auto result = request("GET", hotel.server(nameOf("rooms", zone)).caller(), "/desk/reply", guest());
        const auto* answer = std::get_if<http_answer>(&result);
        if (!answer || answer->status != 200) {
            return false;
        }
        auto tree = parseJson(answer->body);
        return tree["server"] == nameOf("desk", zone) && tree["children"][0]["server"] == nameOf("stay", zone);
    }

}

TEST(ZoneReplaced, NewProcessesServeWhileTheStoreIsDown)
{
    mesh hotel;
    hotel.putContract("hotel-seri", contractText);
    for (const auto& zone : zones) {
        addZone(hotel, zone, "");
    }
    for (const auto& zone : zones) {
        ASSERT_TRUE(waitUntil([&] { return zoneServes(hotel, zone); })) << zone;
    }
    auto join = "join = [\"" + hotel.server("stay-cyberjaya").nodeReady["peer"].asString() + "\", \""
        + hotel.server("stay-shah-alam").nodeReady["peer"].asString() + "\"]\n";
    hotel.platform().control(R"({"down":true})");
    for (const std::string service : { "desk", "stay", "rooms" }) {
        hotel.kill(nameOf(service, lostZone));
    }
    addZone(hotel, lostZone, join);
    for (const auto& zone : zones) {
        EXPECT_TRUE(waitUntil([&] { return zoneServes(hotel, zone); })) << zone;
    }
}

}
