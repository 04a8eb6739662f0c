#include "RoutedWorld/bulk_server.h"
#include "RoutedWorld/platform_world.h"
#include "RoutedWorld/routed_node.h"

#include <gtest/gtest.h>

#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>

namespace vanillashunt {

namespace {

    using std::chrono::milliseconds;

    constexpr std::uint32_t slots = 139;
    constexpr milliseconds deadline { 30000 };
    constexpr std::size_t mebibyte = 1048576;

    // The settings of a machine whose processes may have 260 MB, and the bound on what a node uses of it.
    constexpr const char* usualMemory = "260MiB";
    constexpr std::size_t maxMegabytes = 200;

    // The limits of the users' deployments; the server's service is "desk".
    std::string configuration()
    {
        return R"({"version":"r1","resources":[
            {"type":"routes","metadata":{"name":"one"},"spec":{"host":"a.example","prefix":"/x/","kind":"idempotent","service":"desk","timeout_s":30,"target_latency_s":1,"priority":0,"max_attempts":2}},
            {"type":"routes","metadata":{"name":"two"},"spec":{"host":"a.example","prefix":"/y/","kind":"non_idempotent","service":"desk","timeout_s":30,"target_latency_s":1,"priority":0,"max_attempts":2}},
            {"type":"services","metadata":{"name":"desk"},"spec":{}},
            {"type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":5,"idle_timeout_s":30}}]})";
    }

    // A node where requests enter, and the node beside the server.
    struct large_world {
        explicit large_world(const std::string& memory = usualMemory)
            : furtherSettings("[limits]\nmax_body = \"64MiB\"\nmemory = \"" + memory + "\"\n")
        {
            world.putConfiguration(configuration());
            target = std::make_unique<routed_node>(plan("desk-1", "desk", {}));
            target->report("ready", 1, "desk", "i-1", slots);
            entry = std::make_unique<routed_node>(plan("front-1", "front", { target->port("peer") }));
            entry->getUntil("200");
        }

        routed_node_plan plan(const std::string& name, const std::string& service, const std::vector<std::string>& join) const
        {
            routed_node_plan result { name, service, world.storeAddress(), server.address(), join };
            result.furtherSettings = furtherSettings;
            return result;
        }

        std::string furtherSettings;
        platform_world world;
        bulk_server server;
        std::unique_ptr<routed_node> target;
        std::unique_ptr<routed_node> entry;
    };

    // A figure of the process in megabytes: VmRSS or VmHWM.
    std::size_t megabytes(const routed_node& node, const std::string& figure)
    {
        std::ifstream status("/proc/" + std::to_string(node.process->id()) + "/status");
        for (std::string word; status >> word;) {
            if (word == figure + ":") {
                std::size_t kilobytes = 0;
                status >> kilobytes;
                return kilobytes / 1024;
            }
        }
        return 0;
    }

    // The sum of the metric's values, of which there is one for each set of labels.
    std::size_t sumOfMetric(const routed_node& node, const std::string& name)
    {
        auto socket = raw_socket::connectTo(node.port("operator"));
        socket.send("GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        std::istringstream lines(socket.readToEnd());
        std::size_t sum = 0;
        for (std::string line; std::getline(lines, line);) {
            if (line.rfind(name + " ", 0) == 0 || line.rfind(name + "{", 0) == 0) {
                sum += std::stoul(line.substr(line.rfind(' ')));
            }
        }
        return sum;
    }

    // The status and the size of the body that a client gets; 0 for no answer.
    struct client_result {
        int status = 0;
        std::size_t bytes = 0;
    };

    client_result readAnswer(raw_socket& client)
    {
        auto head = client.readUntil("\r\n\r\n");
        if (head.size() < 12) {
            return {};
        }
        client_result result { std::stoi(head.substr(9, 3)) };
        auto field = head.find("Content-Length: ");
        auto left = field == std::string::npos ? 0 : std::stoul(head.substr(field + 16));
        while (left > 0) {
            auto count = client.readBytes(std::min<std::size_t>(left, 65536)).size();
            if (count == 0) {
                return result;
            }
            left -= count;
            result.bytes += count;
        }
        return result;
    }

    client_result upload(const routed_node& node, int number, std::size_t bytes)
    {
        auto client = raw_socket::connectTo(node.port("caller"));
        client.trySend("POST /y/1 HTTP/1.1\r\nHost: a.example\r\nVanillashunt-Request-Id: u" + std::to_string(number) + "\r\nVanillashunt-Deadline-Ms: "
            + std::to_string(deadline.count()) + "\r\nContent-Length: " + std::to_string(bytes) + "\r\nConnection: close\r\n\r\n");
        for (std::size_t sent = 0; sent < bytes; sent += bulkPiece().size()) {
            client.trySend(bulkPiece());
        }
        return readAnswer(client);
    }

    client_result download(routed_node& node, const std::string& path)
    {
        auto client = node.begin(path, deadline);
        return readAnswer(client);
    }

    // Calls the function with each number on a thread of its own.
    std::vector<client_result> inParallel(int count, const std::function<client_result(int)>& function)
    {
        std::vector<client_result> results(static_cast<std::size_t>(count));
        std::vector<std::thread> threads;
        threads.reserve(results.size());
        for (int number = 0; number < count; ++number) {
            threads.emplace_back([&, number] { results[static_cast<std::size_t>(number)] = function(number); });
        }
        for (auto& thread : threads) {
            thread.join();
        }
        return results;
    }

}

// Guards against a body that is held several times on its way through a node.
TEST(LargeBodies, AreHeldOnceByEachNode)
{
    constexpr std::size_t bodyMegabytes = 64;
    large_world world;
    const std::vector<std::string> paths { "/y/1", "/x/sized-64", "/x/chunked-63" };
    for (const auto& path : paths) {
        auto entryBefore = megabytes(*world.entry, "VmRSS");
        auto targetBefore = megabytes(*world.target, "VmRSS");
        bool isUpload = path == "/y/1";
        auto result = isUpload ? upload(*world.entry, 1, bodyMegabytes * mebibyte) : download(*world.entry, path);
        EXPECT_EQ(result.status, 200) << path;
        EXPECT_LE(megabytes(*world.entry, "VmHWM"), entryBefore + bodyMegabytes * 5 / 4) << path;
        EXPECT_LE(megabytes(*world.target, "VmHWM"), targetBefore + bodyMegabytes * 5 / 4) << path;
    }
}

// Guards against sound large answers that take a node over its memory, or are cut off because there are
// several at once.
TEST(LargeBodies, TwelveAnswersAtOnceAreDelivered)
{
    constexpr int callers = 12;
    constexpr std::size_t answerMegabytes = 24;
    for (const std::string kind : { "chunked", "sized" }) {
        large_world world;
        auto results = inParallel(callers, [&](int) { return download(*world.entry, "/x/" + kind + "-" + std::to_string(answerMegabytes)); });
        for (const auto& result : results) {
            EXPECT_EQ(result.status, 200) << kind;
            EXPECT_EQ(result.bytes, answerMegabytes * mebibyte) << kind;
        }
        EXPECT_LE(megabytes(*world.entry, "VmHWM"), maxMegabytes) << kind;
        EXPECT_LE(megabytes(*world.target, "VmHWM"), maxMegabytes) << kind;
    }
}

// Guards against uploads of the largest size that end a node, and with it every request in progress there,
// or that keep small requests from their way.
TEST(LargeBodies, SixteenUploadsAtOnceLeaveTheNodesAliveAndSmallRequestsServed)
{
    constexpr int callers = 16;
    large_world world;
    std::atomic<bool> ended { false };
    std::atomic<int> served { 0 };
    std::atomic<int> unserved { 0 };
    std::thread small([&] {
        while (!ended) {
            auto result = download(*world.entry, "/x/small");
            (result.status == 200 ? served : unserved) += 1;
        }
    });
    auto results = inParallel(callers, [&](int number) { return upload(*world.entry, number, 64 * mebibyte); });
    ended = true;
    small.join();
    int delivered = 0;
    for (const auto& result : results) {
        EXPECT_TRUE(result.status == 200 || result.status == 503) << result.status;
        delivered += result.status == 200 ? 1 : 0;
    }
    EXPECT_GT(delivered, 0);
    EXPECT_GT(served, 0);
    EXPECT_EQ(unserved, 0);
    EXPECT_LE(megabytes(*world.entry, "VmHWM"), maxMegabytes);
    EXPECT_LE(megabytes(*world.target, "VmHWM"), maxMegabytes);
}

namespace {

    // Opens connections that each send these bytes, and nothing more.
    std::vector<raw_socket> beginRequests(const std::string& address, int count, const std::string& bytes)
    {
        std::vector<raw_socket> connections;
        connections.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i) {
            connections.push_back(raw_socket::connectTo(address));
            connections.back().trySend(bytes);
        }
        return connections;
    }

    // More requests than a node takes from a connection at a time.
    std::string requestsAhead()
    {
        constexpr std::size_t bytes = 65536;
        std::string text;
        while (text.size() < bytes) {
            text += "GET /x/1 HTTP/1.1\r\nHost: a.example\r\nVanillashunt-Request-Id: a\r\nVanillashunt-Deadline-Ms: 20000\r\n\r\n";
        }
        return text;
    }

}

// Guards against uploads that have hardly begun, and have no bytes to speak of, but keep a node's small requests
// from being served.
TEST(LargeBodies, SmallRequestsAreServedBesideManyUploadsThatHaveJustBegun)
{
    constexpr int uploads = 400;
    large_world world;
    auto begun = beginRequests(world.entry->port("caller"), uploads, "POST /y/1 HTTP/1.1\r\nHost: a.example\r\nVanillashunt-Request-Id: u\r\nContent-Length: 60000000\r\n\r\n" + std::string(1000, 'x'));
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(download(*world.entry, "/x/small").status, 200);
    }
}

// Guards against connections without a complete request that together take a node over its memory, at each port
// that many clients can reach.
TEST(LargeBodies, RequestsThatHaveJustBegunFitIntoTheMemoryOfANode)
{
    constexpr int connections = 1500;
    constexpr std::size_t allowedMegabytes = 96;
    const std::string header = "GET /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Long: ";
    const auto ahead = requestsAhead();
    for (const std::string port : { "caller", "backend", "operator" }) {
        large_world world("96MiB");
        auto begun = beginRequests(world.entry->port(port), connections, header + std::string(port == "caller" ? 16000 : 31000, 'x'));
        for (int i = 0; i < 20; ++i) {
            EXPECT_EQ(download(*world.entry, "/x/small").status, 200) << port;
        }
        if (port == "caller") {
            auto further = beginRequests(world.entry->port(port), connections, ahead);
            for (auto& connection : further) {
                EXPECT_FALSE(connection.readUntil("\r\n\r\n").empty());
            }
        }
        EXPECT_LE(megabytes(*world.entry, "VmHWM"), allowedMegabytes) << port;
    }
}

// Guards against requests in progress that together take a node over its memory, since each one holds more than
// is counted for it.
TEST(LargeBodies, RequestsInProgressHoldNoMoreThanIsCounted)
{
    constexpr std::size_t connections = 50;
    large_world world;
    world.target->process->signal(SIGSTOP);
    auto before = megabytes(*world.entry, "VmRSS");
    std::vector<raw_socket> begun;
    // One after the other, so that the node is not too busy to connect to its target in time.
    while (begun.size() < connections) {
        begun.push_back(raw_socket::connectTo(world.entry->port("caller")));
        begun.back().trySend(requestsAhead());
        while (sumOfMetric(*world.entry, "vanillashunt_client_connections_paused") < begun.size()) {
            std::this_thread::sleep_for(milliseconds(5));
        }
    }
    auto counted = sumOfMetric(*world.entry, "vanillashunt_message_bytes") / mebibyte;
    EXPECT_LE(megabytes(*world.entry, "VmRSS"), before + counted);
    world.target->process->signal(SIGCONT);
}

// Guards against headers that timed out, and are kept while their clients are given time to close, though their
// room is given to others.
TEST(LargeBodies, HeadersThatTimedOutAreNotKept)
{
    constexpr int connections = 2000;
    constexpr std::size_t headerBytes = 16000;
    constexpr std::size_t allowedMegabytes = 96;
    const std::string header = "GET /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Long: " + std::string(headerBytes, 'x');
    large_world world("96MiB");
    auto timedOut = beginRequests(world.entry->port("caller"), connections, header);
    for (auto& connection : timedOut) {
        EXPECT_EQ(connection.readUntil("\r\n\r\n").substr(9, 3), "408");
    }
    auto further = beginRequests(world.entry->port("caller"), connections, header);
    for (auto& connection : further) {
        EXPECT_FALSE(connection.readUntil("\r\n\r\n").empty());
    }
    EXPECT_LE(megabytes(*world.entry, "VmHWM"), allowedMegabytes);
}

}
