#include "node/inbound_calls.h"

#include <gtest/gtest.h>

namespace vanillashunt {

namespace {

    using time_point = std::chrono::steady_clock::time_point;

    constexpr std::uint64_t ownIncarnation = 7;
    constexpr std::uint64_t otherIncarnation = 8;

    backend_announcement announced()
    {
        backend_announcement result;
        result.service = "desk";
        result.address = "127.0.0.1:1";
        result.slots = 10;
        return result;
    }

    // A home with a backend server, and the answers that it gave.
    struct home {
        home()
        {
            calls.setBackend(announced(), now);
        }

        inbound_hooks hooks()
        {
            inbound_hooks result;
            result.run = [this](std::uint64_t, const std::string&, const call_request&) { ++runs; };
            result.otherHome = [this](const std::string&, time_point) { return other; };
            result.random = [this] { return ++random; };
            return result;
        }

        const call_answer& ask(const ticket& permit)
        {
            call_request request;
            request.service = "desk";
            request.permit = permit;
            request.context.idempotent = false;
            request.context.deadline = now + std::chrono::seconds(5);
            calls.arrive(
                request, [this](const call_answer& answer) { last = answer; }, now);
            return last;
        }

        static std::optional<member> otherMember()
        {
            member result;
            result.id = otherIncarnation;
            return result;
        }

        time_point now { std::chrono::seconds(1) };
        std::optional<member> other = otherMember();
        std::uint64_t random = 100;
        int runs = 0;
        call_answer last;
        inbound_calls calls { ownIncarnation, time_point(), hooks() };
    };

    ticket claimedTicket()
    {
        return { ownIncarnation, std::chrono::seconds(60), 1, 0, true };
    }

}

// A planned stop under load: a confirmed request has claimed its ticket at a home that began
// to leave before the request came there.
TEST(TicketHandOver, ALeavingHomeNamesOneSuccessorAndRunsNothing)
{
    home leaving;
    leaving.calls.setDraining(true);
    auto first = leaving.ask(claimedTicket());
    EXPECT_EQ(first.outcome.run, execution::NotRun);
    EXPECT_EQ(first.outcome.reason, verdict_reason::Draining);
    ASSERT_TRUE(first.successor);
    EXPECT_EQ(first.successor->home, otherIncarnation);
    EXPECT_TRUE(first.successor->claimed);
    auto repeat = leaving.ask(claimedTicket());
    EXPECT_EQ(repeat.outcome.run, execution::MayHaveRun);
    EXPECT_EQ(repeat.successor, first.successor);
    // A stop that is withdrawn does not bring the ticket back.
    leaving.calls.setDraining(false);
    auto later = claimedTicket();
    later.use = first.nextUse;
    EXPECT_EQ(leaving.ask(later).successor, first.successor);
    EXPECT_EQ(leaving.runs, 0);
}

TEST(TicketHandOver, AHomeThatLostItsServerHandsOverToo)
{
    home bereft;
    bereft.calls.setBackend(std::nullopt, bereft.now);
    EXPECT_TRUE(bereft.ask(claimedTicket()).successor);
}

TEST(TicketHandOver, WithoutAnotherHomeTheTicketStays)
{
    home leaving;
    leaving.other = std::nullopt;
    leaving.calls.setDraining(true);
    auto refused = leaving.ask(claimedTicket());
    EXPECT_EQ(refused.outcome.run, execution::NotRun);
    EXPECT_FALSE(refused.successor);
    leaving.calls.setDraining(false);
    auto later = claimedTicket();
    later.use = refused.nextUse;
    leaving.ask(later);
    EXPECT_EQ(leaving.runs, 1);
}

}
