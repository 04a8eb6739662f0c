// Starts the hotel mesh in three availability zones, sends a request of each kind,
// shows what the system says of it, and stops everything gracefully.

#include "Harness/command_run.h"
#include "Harness/mesh.h"

#include <csignal>
#include <iostream>

namespace vanillashunt {

namespace {

    const std::vector<std::string> zones { "cyberjaya", "shah-alam", "bangsar" };

    // One request that the demonstration shows.
    struct shown_request {
        const char* what;
        const char* method;
        const char* path;
        http_fields fields;
    };

    void say(const std::string& text)
    {
        std::cout << text << std::endl;
    }

    void startHotel(mesh& hotel)
    {
        for (const auto& zone : zones) {
            hotel.add({ "threads-" + zone, "threads", zone, { "--calls", "stay-details:/room:GET" }, "" });
            hotel.add({ "desk-replies-" + zone, "desk-replies", zone, { "--calls", "stay-details:/room:GET" }, "" });
            hotel.add({ "stay-details-" + zone, "stay-details", zone, { "--calls", "notices:/current:GET" }, "" });
            hotel.add({ "notices-" + zone, "notices", zone, {}, "" });
        }
    }

    void applyContract(mesh& hotel)
    {
        say("\n$ vanillashunt contract apply examples/hotel/contract-hotel-seri.toml --store …");
        auto run = runCommand({ "contract", "apply", std::string(EXAMPLES_FOLDER) + "/hotel/contract-hotel-seri.toml", "--store", hotel.platform().address() });
        std::cout << run.text;
    }

    // The servers that answered, outermost first.
    std::string pathOf(const Json::Value& tree)
    {
        auto text = tree["server"].asString();
        for (const auto& child : tree["children"]) {
            text += " → " + pathOf(child);
        }
        return text;
    }

    void show(const shown_request& shown, const std::string& node)
    {
        say(std::string("\n") + shown.what + ": " + shown.method + " " + shown.path);
        auto result = request(shown.method, node, shown.path, shown.fields);
        if (const auto* error = std::get_if<http_error>(&result)) {
            say("  no answer: " + error->message);
            return;
        }
        const auto& answer = std::get<http_answer>(result);
        say("  status " + std::to_string(answer.status) + ", verdict " + answer.field("Vanillashunt-Verdict") + ", reason " + answer.field("Vanillashunt-Reason"));
        auto body = parseJson(answer.body);
        say(body.isMember("server") ? "  path " + pathOf(body) : "  " + body["message"].asString());
    }

    void showAll(mesh& hotel)
    {
        auto node = hotel.server("threads-bangsar").caller();
        http_fields guest { { "Vanillashunt-Customer", "hotel-seri" }, { "X-Nonce", "demo" } };
        auto desk = guest;
        desk["Idempotency-Key"] = "demo-1";
        desk["Vanillashunt-Attempt"] = "1";
        auto repeat = desk;
        repeat["Vanillashunt-Attempt"] = "2";
        show({ "A guest reads a thread", "GET", "/threads/history/7", guest }, node);
        show({ "A guest reads notices", "GET", "/notices/today", guest }, node);
        show({ "The desk confirms a late checkout", "POST", "/desk-replies/replies/7", desk }, node);
        show({ "The same again through another node: it does not run twice", "POST", "/desk-replies/replies/7", repeat }, hotel.server("notices-cyberjaya").caller());
        show({ "A customer without a contract", "GET", "/threads/history/7", { { "Vanillashunt-Customer", "nobody" } } }, node);
    }

    bool stopAll(mesh& hotel)
    {
        say("\nPlanned stop of every node:");
        bool clean = true;
        auto& servers = hotel.servers();
        for (auto& [name, server] : servers) {
            server->node->signal(SIGTERM);
        }
        for (auto& [name, server] : servers) {
            auto end = server->node->wait();
            clean = clean && end && end->exitCode == 0;
        }
        say(clean ? "  all exited with 0" : "  some did not exit cleanly");
        return clean;
    }

    int runDemo()
    {
        say("Starting a platform stand-in, 12 nodes and 12 backend server stand-ins in 3 zones …");
        mesh hotel;
        startHotel(hotel);
        applyContract(hotel);
        if (!hotel.waitUntilServing("/threads/history/1", { { "Vanillashunt-Customer", "hotel-seri" }, { "X-Nonce", "warm-up" } })) {
            say("the mesh does not serve; look at the nodes' logs on standard error");
            return 1;
        }
        showAll(hotel);
        say("\n$ vanillashunt status --all …");
        std::cout << runCommand({ "status", hotel.server("threads-bangsar").nodeReady["operator"].asString(), "--all" }).text;
        return stopAll(hotel) ? 0 : 1;
    }

}

}

int main()
{
    return vanillashunt::runDemo();
}
