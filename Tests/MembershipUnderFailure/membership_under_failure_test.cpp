#include "Harness/contract_texts.h"
#include "Harness/mesh.h"

#include <gtest/gtest.h>

#include <csignal>

namespace vanillashunt {

namespace {

    const http_fields guest { { "Vanillashunt-Customer", "hotel-seri" } };

    // What the node's dump says of membership; null where it does not answer.
    Json::Value membershipOf(const mesh_server& server)
    {
        auto result = request("POST", server.nodeReady["operator"].asString(), "/rpc", { { "Content-Type", "application/json" } },
            R"({"jsonrpc":"2.0","id":1,"method":"dump","params":{}})");
        auto* answer = std::get_if<http_answer>(&result);
        return answer && answer->status == 200 ? parseJson(answer->body)["result"]["membership"] : Json::Value();
    }

    // The state that the observer sees the member in; empty where it does not know it.
    std::string stateOfId(const mesh_server& observer, const Json::Value& id)
    {
        const auto members = membershipOf(observer)["members"];
        for (const auto& entry : members) {
            if (entry["id"] == id) {
                return entry["state"].asString() + (entry["state"] == "alive" && !entry["reachable"].asBool() ? ", unreachable" : "");
            }
        }
        return "";
    }

    std::string stateSeen(const mesh_server& observer, const mesh_server& seen)
    {
        return stateOfId(observer, seen.nodeReady["incarnation"]);
    }

    using server_list = std::vector<mesh_server*>;

    bool allSee(const server_list& observers, const server_list& seen, const std::string& state)
    {
        return waitUntil([&] {
            for (const auto* observer : observers) {
                for (const auto* other : seen) {
                    if (stateSeen(*observer, *other) != state) {
                        return false;
                    }
                }
            }
            return true;
        });
    }

    mesh_server* addThreads(mesh& hotel, const std::string& zone, int number, const std::string& settings = "")
    {
        return &hotel.add({ zone + "-" + std::to_string(number), "threads", zone, {}, settings });
    }

    server_list startZone(mesh& hotel, const std::string& zone)
    {
        server_list servers;
        for (int number = 0; number < 3; ++number) {
            servers.push_back(addThreads(hotel, zone, number));
        }
        return servers;
    }

    bool servesEveryRequest(const mesh_server& server)
    {
        for (int i = 0; i < 20; ++i) {
            auto result = request("GET", server.caller(), "/threads/history/1", guest);
            auto* answer = std::get_if<http_answer>(&result);
            if (!answer || answer->status != 200) {
                return false;
            }
        }
        return true;
    }

}

TEST(MembershipUnderFailure, AKilledNodeIsDeadForAllAndOutOfRouting)
{
    mesh hotel;
    hotel.putContract("hotel-seri", threadsAndDeskContract());
    auto near = startZone(hotel, "bangsar");
    auto far = startZone(hotel, "cyberjaya");
    server_list observers { near[0], near[1], far[0], far[1], far[2] };
    ASSERT_TRUE(allSee(observers, { near[2] }, "alive"));
    near[2]->node->kill();
    EXPECT_TRUE(allSee(observers, { near[2] }, "dead"));
    EXPECT_TRUE(servesEveryRequest(*near[0]));
    EXPECT_TRUE(servesEveryRequest(*far[0]));
}

TEST(MembershipUnderFailure, APausedNodeComesBackAndAccusesNobody)
{
    mesh hotel;
    auto servers = startZone(hotel, "bangsar");
    servers.push_back(addThreads(hotel, "bangsar", 3));
    server_list others { servers[0], servers[1], servers[2] };
    auto* paused = servers[3];
    ASSERT_TRUE(allSee(servers, servers, "alive"));
    auto declaredBefore = membershipOf(*paused)["deaths_declared"];
    paused->node->signal(SIGSTOP);
    EXPECT_TRUE(allSee(others, { paused }, "dead"));
    paused->node->signal(SIGCONT);
    EXPECT_TRUE(allSee(servers, servers, "alive"));
    auto state = membershipOf(*paused);
    EXPECT_EQ(state["deaths_declared"], declaredBefore);
    EXPECT_GE(state["health"]["pauses"].asUInt(), 1U);
}

TEST(MembershipUnderFailure, NodesThatAreToldWhomToJoinNeedNoStore)
{
    mesh hotel;
    hotel.platform().control(R"({"down":true})");
    server_list servers { addThreads(hotel, "bangsar", 0) };
    auto join = "[peer]\njoin = [\"" + servers[0]->nodeReady["peer"].asString() + "\"]\n";
    servers.push_back(addThreads(hotel, "bangsar", 1, join));
    servers.push_back(addThreads(hotel, "cyberjaya", 0, join));
    EXPECT_TRUE(allSee(servers, servers, "alive"));
    EXPECT_EQ(membershipOf(*servers[1])["store_calls"]["writes"].asUInt(), 0U);
}

TEST(MembershipUnderFailure, AZoneThatIsKilledIsReplaced)
{
    mesh hotel;
    hotel.putContract("hotel-seri", threadsAndDeskContract());
    auto near = startZone(hotel, "bangsar");
    auto far = startZone(hotel, "cyberjaya");
    ASSERT_TRUE(allSee(near, far, "alive"));
    for (auto* server : far) {
        server->node->kill();
    }
    // Nobody there can tell whether they are dead, but they are out of reach.
    EXPECT_TRUE(waitUntil([&] { return membershipOf(*near[0])["availability_zones"]["cyberjaya"]["reachable"] == false; }));
    EXPECT_TRUE(servesEveryRequest(*near[0]));
    const auto thirdOld = far[2]->nodeReady["incarnation"];
    server_list replaced { addThreads(hotel, "cyberjaya", 0), addThreads(hotel, "cyberjaya", 1), addThreads(hotel, "cyberjaya", 3) };
    EXPECT_TRUE(allSee(near, replaced, "alive"));
    EXPECT_TRUE(allSee(replaced, near, "alive"));
    EXPECT_TRUE(waitUntil([&] { return stateOfId(*near[0], thirdOld) == "dead"; }));
}

// Guards against two meshes with separate stores joining when a node of one reuses the address of a
// killed node of the other.
TEST(MembershipUnderFailure, ANodeOfAnotherMeshThatReusesAnAddressDoesNotJoin)
{
    mesh hotel(mesh_network::ThroughProxy);
    mesh otherMesh(mesh_network::ThroughProxy);
    auto servers = startZone(hotel, "bangsar");
    const auto& otherNode = *addThreads(otherMesh, "bangsar", 2);
    ASSERT_TRUE(allSee(servers, servers, "alive"));
    const auto killedId = servers[2]->nodeReady["incarnation"];
    hotel.kill("bangsar-2");
    hotel.redirectPeerAddress("bangsar-2", otherNode);
    EXPECT_TRUE(waitUntil([&] { return stateOfId(*servers[0], killedId) == "dead" && stateOfId(*servers[1], killedId) == "dead"; }));
    EXPECT_GT(membershipOf(otherNode)["garbage"].asUInt64(), 0U);
    for (const auto* server : { servers[0], servers[1] }) {
        EXPECT_EQ(stateSeen(*server, otherNode), "");
        EXPECT_EQ(stateSeen(otherNode, *server), "");
    }
}

// Control for the test above: with the same mesh name, the meshes do join.
TEST(MembershipUnderFailure, ANodeOfTheSameMeshNameThatReusesAnAddressJoins)
{
    mesh hotel(mesh_network::ThroughProxy);
    mesh otherMesh(mesh_network::ThroughProxy);
    auto servers = startZone(hotel, "bangsar");
    server_spec spec { "bangsar-2", "threads", "bangsar", {}, "" };
    spec.meshName = hotel.name();
    const auto& otherNode = otherMesh.add(spec);
    ASSERT_TRUE(allSee(servers, servers, "alive"));
    hotel.kill("bangsar-2");
    hotel.redirectPeerAddress("bangsar-2", otherNode);
    EXPECT_TRUE(waitUntil([&] { return stateSeen(*servers[0], otherNode) == "alive" && stateSeen(otherNode, *servers[1]) == "alive"; }));
}

}
