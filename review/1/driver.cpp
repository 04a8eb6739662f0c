// A client on a kept connection sends further idempotent requests before the first one has been
// answered. Counts the requests that servers ran while the node closed the connection without
// an answer to them.
#include "../stand_in/world.h"

#include <memory>
#include <set>

namespace {

using namespace review;
using std::chrono::milliseconds;

constexpr const char* service = "penginapan";
// The rule allows three.
constexpr std::size_t mostLost = 3;
constexpr int requestCount = 40;
// Without the disruption no more requests than this are sent ahead at a time.
constexpr int smallBatch = 4;
constexpr int deadlineMilliseconds = 2500;
constexpr milliseconds work { 220 };

class world {
public:
    explicit world(record_file& record)
        : m_store(freeAddress("127.0.81.9"))
    {
        m_store.put("op/config", configuration(7, { { "stay-read", "/leny950/", "idempotent", service, 1.2, 2 } }, { service }));
        const std::vector<std::string> zones { "cyberjaya", "shah-alam", "bangsar" };
        for (int number = 0; number < 3; ++number) {
            const auto& zone = zones[static_cast<std::size_t>(number)];
            auto name = "sidecar-" + zone + "-1";
            auto& added = machines.emplace_back(std::make_unique<machine>(record, name, "127.0.81." + std::to_string(number + 1), zone, service, m_store.at(), zones));
            auto& server = servers.emplace_back(std::make_unique<app_server>(record, added->application(), added->control(), service, zone, "i-stay" + std::to_string(number + 1), 139));
            server->setWork(work);
            added->start();
        }
        for (std::size_t number = 0; number < machines.size(); ++number) {
            machines[number]->waitUntilReady();
            servers[number]->startHeartbeats();
        }
        // The machines are in touch after 3 s.
        pause(milliseconds(5000));
    }

    std::set<std::string> runs()
    {
        std::set<std::string> result;
        for (auto& server : servers) {
            for (const auto& run : server->runs()) {
                result.insert(run.requestId);
            }
        }
        return result;
    }

private:
    store m_store;

public:
    std::vector<std::unique_ptr<machine>> machines;
    std::vector<std::unique_ptr<app_server>> servers;
};

const char* endText(read_result result)
{
    switch (result) {
    case read_result::Message:
        return "answered";
    case read_result::Closed:
        return "closed by the node";
    case read_result::Reset:
        return "reset by the node";
    case read_result::TimedOut:
        return "silent";
    }
    return "";
}

// Sends the requests of one batch at once, and reads their answers. Returns the ids without an
// answer on a connection that the node closed.
std::vector<std::string> sendBatch(record_file& record, connection& open, int count)
{
    std::vector<std::string> ids;
    std::string text;
    for (int number = 0; number < count; ++number) {
        ids.push_back(newRequestId());
        text += requestText("GET", "/leny950/2f", ids.back(), deadlineMilliseconds);
        record.line("client sends " + ids.back());
    }
    if (!open.send(text)) {
        throw cannot_run("the connection was closed before the requests were sent");
    }
    auto until = std::chrono::steady_clock::now() + milliseconds(deadlineMilliseconds + 500);
    for (std::size_t answered = 0; answered < ids.size(); ++answered) {
        http_text answer;
        auto left = std::chrono::duration_cast<milliseconds>(until - std::chrono::steady_clock::now());
        auto result = open.read(answer, left);
        if (result != read_result::Message) {
            record.line("client's connection: " + std::string(endText(result)) + " with " + std::to_string(ids.size() - answered) + " requests unanswered");
            bool closed = result == read_result::Closed || result == read_result::Reset;
            return closed ? std::vector<std::string>(ids.begin() + static_cast<std::ptrdiff_t>(answered), ids.end()) : std::vector<std::string>();
        }
        record.line("client gets " + std::to_string(answer.status()) + " for " + answer.field("vanillashunt-request-id"));
    }
    return {};
}

bool runPipelines(record_file& record)
{
    world deployment(record);
    auto open = connection::to(deployment.machines.front()->outbound());
    if (!open) {
        throw cannot_run("no connection to the node");
    }
    // The connection is a kept one: it has had an answer.
    if (!sendBatch(record, *open, 1).empty()) {
        throw cannot_run("a single request was not answered");
    }
    std::vector<std::string> unanswered;
    int batch = withTrouble() ? requestCount : smallBatch;
    for (int sent = 0; sent < requestCount && unanswered.empty(); sent += batch) {
        unanswered = sendBatch(record, *open, batch);
    }
    pause(milliseconds(1000));
    auto runs = deployment.runs();
    std::size_t lost = 0;
    for (const auto& id : unanswered) {
        bool ran = runs.count(id) != 0;
        record.line("request " + id + " has no answer, its connection was closed, and it " + (ran ? "ran" : "did not run"));
        lost += ran ? 1 : 0;
    }
    record.line(std::to_string(lost) + " requests ran at sound servers and their connection was closed without an answer; the rule allows " + std::to_string(mostLost));
    return lost > mostLost;
}

}

int main()
{
    return runCase(runPipelines);
}
