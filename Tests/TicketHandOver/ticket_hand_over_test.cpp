#include "node/inbound_calls.h"

#include <gtest/gtest.h>

namespace vanillashunt {

namespace {

    using time_point = std::chrono::steady_clock::time_point;

    constexpr std::uint64_t ownIncarnation = 7;
    constexpr std::uint64_t otherIncarnation = 8;

    backend_announcement backendAnnouncement()
    {
        backend_announcement result;
        result.service = "desk";
        result.address = "127.0.0.1:1";
        result.slots = 10;
        return result;
    }

    // A ticket's home node with a backend server; keeps the last answer that it gave.
    struct home_node {
        home_node()
        {
            calls.setBackend(backendAnnouncement(), now);
        }

        inbound_hooks hooks()
        {
            inbound_hooks result;
            result.run = [this](std::uint64_t, const std::string&, const call_request&) { ++runs; };
            result.findOtherHome = [this](const std::string&, time_point) { return otherHome; };
            result.random = [this] { return ++random; };
            return result;
        }

        const call_answer& send(const ticket& permit)
        {
            call_request request;
            request.service = "desk";
            request.permit = permit;
            request.context.idempotent = false;
            request.context.deadline = now + std::chrono::seconds(5);
            calls.arrive(
                request, [this](const call_answer& answer) { lastAnswer = answer; }, now);
            return lastAnswer;
        }

        static std::optional<member> otherMember()
        {
            member result;
            result.id = otherIncarnation;
            return result;
        }

        time_point now { std::chrono::seconds(1) };
        std::optional<member> otherHome = otherMember();
        std::uint64_t random = 100;
        int runs = 0;
        call_answer lastAnswer;
        inbound_calls calls { ownIncarnation, time_point(), hooks() };
    };

    ticket claimedTicket()
    {
        return { ownIncarnation, std::chrono::seconds(60), 1, 0, true };
    }

}

// Guards against a request whose ticket can run nowhere after a planned stop. The request has
// claimed its ticket, and the ticket's home starts to drain before the request arrives there.
TEST(TicketHandOver, ADrainingHomeNamesOneSuccessorAndRunsNothing)
{
    home_node node;
    node.calls.setDraining(true);
    auto first = node.send(claimedTicket());
    EXPECT_EQ(first.outcome.run, execution::NotRun);
    EXPECT_EQ(first.outcome.reason, verdict_reason::Draining);
    ASSERT_TRUE(first.successor);
    EXPECT_EQ(first.successor->home, otherIncarnation);
    EXPECT_TRUE(first.successor->claimed);
    auto repeat = node.send(claimedTicket());
    EXPECT_EQ(repeat.outcome.run, execution::MayHaveRun);
    EXPECT_EQ(repeat.successor, first.successor);
    // The handed-over ticket stays invalid after the stop is withdrawn.
    node.calls.setDraining(false);
    auto later = claimedTicket();
    later.use = first.nextUse;
    EXPECT_EQ(node.send(later).successor, first.successor);
    EXPECT_EQ(node.runs, 0);
}

TEST(TicketHandOver, AHomeWithoutBackendServerHandsOverTheTicket)
{
    home_node node;
    node.calls.setBackend(std::nullopt, node.now);
    EXPECT_TRUE(node.send(claimedTicket()).successor);
}

TEST(TicketHandOver, TheTicketStaysValidIfThereIsNoOtherHome)
{
    home_node node;
    node.otherHome = std::nullopt;
    node.calls.setDraining(true);
    auto refused = node.send(claimedTicket());
    EXPECT_EQ(refused.outcome.run, execution::NotRun);
    EXPECT_FALSE(refused.successor);
    node.calls.setDraining(false);
    auto later = claimedTicket();
    later.use = refused.nextUse;
    node.send(later);
    EXPECT_EQ(node.runs, 1);
}

}
