#include "Harness/child_process.h"
#include "Harness/stand_in.h"
#include "RawSocket/raw_socket.h"

#include <gtest/gtest.h>

namespace vanillashunt {

namespace {

    // Reads the next request; returns its nonce.
    std::string readNonce(raw_socket& connection)
    {
        constexpr const char* name = "X-Nonce: ";
        auto head = connection.readUntil("\r\n\r\n");
        auto begin = head.find(name) + std::char_traits<char>::length(name);
        return head.substr(begin, head.find('\r', begin) - begin);
    }

    void answer(raw_socket& connection, const std::string& nonce)
    {
        auto body = R"({"nonce":")" + nonce + R"("})";
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

}

// Guards against a load that misses faults of pipelining, since it waits for each answer.
TEST(LoadStandIn, SendsRequestsAheadAndTakesTheirAnswersInOrder)
{
    constexpr std::size_t depth = 40;
    raw_listener server;
    child_process load({ STANDIN_PATH, "load", "--targets", server.address(), "--rate", "2000", "--seconds", "10", "--ahead", std::to_string(depth),
        "--mix", "name=read,path=/path,tree=1,timeout_ms=30000" });
    load.readReady();
    auto connection = server.accept();
    std::vector<std::string> nonces;
    for (std::size_t number = 0; number < depth; ++number) {
        nonces.push_back(readNonce(connection));
    }
    for (const auto& nonce : nonces) {
        answer(connection, nonce);
    }
    for (std::size_t number = 0; number < depth; ++number) {
        auto line = parseJson(std::get<std::string>(load.readLine(std::chrono::seconds(60))));
        EXPECT_EQ(line["nonce"], nonces[number]);
        EXPECT_EQ(line["status"], 200);
        EXPECT_TRUE(line["whole"].asBool());
        EXPECT_FALSE(line["wrong"].asBool());
    }
    load.kill();
}

}
