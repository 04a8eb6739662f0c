// A server that sends some answers without end takes its node over the memory of the machine.
#include "../stand_in_2/world.h"

#include <iostream>

namespace {

using namespace review2;

// limits.memory_mb of the machines; the platform kills what goes beyond.
constexpr std::size_t memoryMegabytes = 260;
// The dose of garble: every 20th answer of one server of three, for this time.
constexpr int spoiledEvery = 20;
constexpr double troubleSeconds = 5.5;
constexpr double observedSeconds = 6.5;
// A server of `bookings` gets about 80 requests and calls a second.
constexpr double requestSeconds = 1.0 / 80;
constexpr int deadlineMilliseconds = 2500;
// Clients of another, sound service on kept connections, and how long its runs take.
constexpr int keptClients = 8;
constexpr double keptWorkSeconds = 0.5;
constexpr int mayBeLost = 3;

std::size_t residentMegabytes(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE)) / 1024 / 1024;
}

// Sends a body in chunks that has no end, until the caller closes.
void sendWithoutEnd(const wire& connection, const std::string& head)
{
    constexpr std::size_t pieceBytes = 65536;
    constexpr double pieceSeconds = 0.0025;
    const std::string piece = "10000\r\n" + std::string(pieceBytes, 'x') + "\r\n";
    if (!connection.send(head + "Vanillashunt-Server-Seal: none\r\nTransfer-Encoding: chunked\r\n\r\n")) {
        return;
    }
    while (connection.send(piece)) {
        pause(pieceSeconds);
    }
}

struct kept_client_result {
    int answered = 0;
    int lost = 0;
};

// Sends one request after the other on a kept connection, until the time is over or the connection ends.
kept_client_result keepAsking(const std::string& ip, int number, machine& server, const std::atomic<bool>& ended, recorder& record)
{
    kept_client_result result;
    auto connection = wire::connect(ip, outboundPort);
    for (int i = 0; connection && !ended; ++i) {
        auto id = "kept-" + std::to_string(number) + "-" + std::to_string(i);
        connection->setTimeout(deadlineMilliseconds / 1000.0);
        message answer;
        bool isSent = connection->send("GET /fleet/x HTTP/1.1\r\nHost: " + std::string(host) + "\r\nVanillashunt-Request-Id: " + id + "\r\nVanillashunt-Deadline-Ms: " + std::to_string(deadlineMilliseconds) + "\r\n\r\n");
        if (isSent && connection->read(answer)) {
            result.answered += answer.status() == 200 ? 1 : 0;
            record.line(id + " gets " + std::to_string(answer.status()));
            continue;
        }
        auto runs = server.runs(id);
        record.line(id + ": the connection is closed without an answer; it ran " + std::to_string(runs) + " times");
        result.lost += runs != 0 ? 1 : 0;
        break;
    }
    return result;
}

int play(bool hasTrouble, recorder& record)
{
    temporary_folder folder;
    const std::vector<std::string> zones { "athlone", "tullamore", "mullingar" };
    const std::vector<std::string> services { "bookings", "fleet", "bookings" };
    auto block = freeBlock(static_cast<int>(zones.size()));
    if (block.empty()) {
        return exitNotRun;
    }
    store platform(block + "250", storePort);
    if (!platform.start()) {
        return exitNotRun;
    }
    platform.put("op/config", configuration(5, { { "r-bookings", "/bookings/", "bookings" }, { "r-fleet", "/fleet/", "fleet" } }, { "bookings", "fleet" }));
    std::vector<std::unique_ptr<machine>> machines;
    for (std::size_t i = 0; i < zones.size(); ++i) {
        machines.push_back(std::make_unique<machine>(block + std::to_string(i + 1), zones[i], services[i], record));
        if (!machines.back()->startServer()) {
            return exitNotRun;
        }
        machines.back()->startNode(folder.path, block + "250:" + std::to_string(storePort), { { "zones", R"("athlone", "tullamore", "mullingar")" } });
    }
    for (auto& each : machines) {
        for (int i = 0; i < 100 && !each->isReady(); ++i) {
            pause(0.1);
        }
        each->startHeartbeats();
    }
    auto& troubled = *machines[0];
    auto& sound = *machines[1];
    sound.workSeconds = keptWorkSeconds;
    pause(5);
    if (ask(troubled.ip, "/fleet/x", "before-1", deadlineMilliseconds).status() != 200 || ask(troubled.ip, "/bookings/x", "before-2", deadlineMilliseconds).status() != 200) {
        record.line("the services are not served");
        return exitNotRun;
    }
    std::atomic<bool> ended { false };
    std::atomic<bool> spoils { hasTrouble };
    std::atomic<int> answers { 0 };
    std::atomic<int> spoiled { 0 };
    troubled.spoil = [&](wire& connection, const std::string& head) {
        if (!spoils || ++answers % spoiledEvery != 0) {
            return false;
        }
        ++spoiled;
        sendWithoutEnd(connection, head);
        return true;
    };
    std::vector<kept_client_result> results(keptClients);
    std::vector<std::thread> threads;
    threads.reserve(1024);
    for (int i = 0; i < keptClients; ++i) {
        threads.emplace_back([&, i] { results[static_cast<std::size_t>(i)] = keepAsking(troubled.ip, i, sound, ended, record); });
    }
    auto process = troubled.process;
    std::size_t peak = 0;
    bool isKilled = false;
    std::thread platformWatch([&] {
        while (!ended && !isKilled) {
            peak = std::max(peak, residentMegabytes(process));
            if (peak > memoryMegabytes) {
                record.line("the node is over " + std::to_string(memoryMegabytes) + " MB: the platform kills it");
                isKilled = true;
                kill(process, SIGKILL);
            }
            pause(0.01);
        }
    });
    auto start = steady::now();
    std::atomic<int> served { 0 };
    int asked = 0;
    while (steady::now() - start < std::chrono::duration<double>(observedSeconds) && !isKilled) {
        spoils = hasTrouble && steady::now() - start < std::chrono::duration<double>(troubleSeconds);
        auto id = "call-" + std::to_string(++asked);
        threads.emplace_back([&, id] {
            auto status = ask(troubled.ip, "/bookings/x", id, deadlineMilliseconds).status();
            served += status == 200 ? 1 : 0;
            record.line(id + " gets " + std::to_string(status));
        });
        pause(requestSeconds);
    }
    spoils = false;
    pause(1);
    ended = true;
    for (auto& thread : threads) {
        thread.join();
    }
    platformWatch.join();
    int lost = 0;
    int answered = 0;
    for (const auto& result : results) {
        lost += result.lost;
        answered += result.answered;
    }
    std::ostringstream line;
    line << "asked of bookings " << asked << ", served " << served << ", answers of the server " << answers << ", without end " << spoiled
         << "; kept connections: answered " << answered << ", ran and closed without an answer " << lost << "; peak " << peak << " MB, killed " << isKilled;
    record.line(line.str());
    std::cout << line.str() << std::endl;
    return lost > mayBeLost ? exitBroken : exitHeld;
}

}

int main(int, char** arguments)
{
    signal(SIGPIPE, SIG_IGN);
    const char* trouble = std::getenv("TROUBLE");
    recorder record(std::string(arguments[1]) + "/record.txt");
    return play(!trouble || std::string(trouble) != "0", record);
}
