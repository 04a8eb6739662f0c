#include "admission/usable_slots.h"
#include "node/routed_target.h"

#include <gtest/gtest.h>

#include <deque>

namespace vanillashunt {

namespace {

    using time_point = routed_target::time_point;
    using std::chrono::milliseconds;

    constexpr std::uint32_t announcedSlots = 28;
    const std::uint32_t slots = usableSlots(announcedSlots);

    // A target with a server of its own, and what became of its calls.
    class target_world {
    public:
        target_world()
            : m_target(hooks())
        {
            server.start.instanceId = "i-1";
            server.service = "notices";
            server.slots = announcedSlots;
            m_target.setServer(server, true, now);
        }

        std::uint64_t arrive(std::uint32_t depth = 0, shedding_position position = 0, bool refuseIfFull = false)
        {
            call_request request;
            request.refuseIfFull = refuseIfFull;
            request.service = "notices";
            request.path = path;
            request.context.requestClass = "notice-read";
            request.context.requestId = "request-" + std::to_string(m_lastId + 1);
            request.context.deadline = now + milliseconds(2000);
            request.context.depth = depth;
            request.context.position = position;
            return m_target.arrive(
                std::move(request), [this](const call_answer& answer) { answers.push_back(answer); }, now);
        }

        // Answers the call that has run longest.
        void serverAnswers(const verdict& outcome, std::uint32_t status = 200)
        {
            auto runId = running.front();
            running.pop_front();
            call_answer answer;
            answer.outcome = outcome;
            answer.status = status;
            m_target.serverAnswered(runId, answer, now);
        }

        int refusals() const
        {
            int count = 0;
            for (const auto& each : answers) {
                count += each.outcome.run == execution::NotRun ? 1 : 0;
            }
            return count;
        }

        routed_target& target() { return m_target; }

        server_report server;
        time_point now { std::chrono::seconds(100) };
        std::deque<std::uint64_t> running;
        std::vector<std::uint64_t> cancelled;
        std::vector<call_answer> answers;
        int startsAgain = 0;
        std::string path = "/x/1";
        // What servers have ended under, as the other nodes tell.
        std::vector<request_fingerprint> poison;
        poison_status standing = poison_status::Poison;
        int asked = 0;
        std::vector<server_end> ends;
        std::vector<request_fingerprint> served;

    private:
        target_hooks hooks()
        {
            target_hooks result;
            result.run = [this](std::uint64_t runId, const server_report&, const call_request&, time_point) { running.push_back(runId); };
            result.cancelRun = [this](std::uint64_t runId) { cancelled.push_back(runId); };
            result.serverStartedAgain = [this] { ++startsAgain; };
            result.askServer = [this] { ++asked; };
            result.serverEnded = [this](const server_end& end) { ends.push_back(end); };
            result.standingOf = [this](request_fingerprint content) {
                return std::count(poison.begin(), poison.end(), content) != 0 ? standing : poison_status::Harmless;
            };
            result.contentServed = [this](request_fingerprint content) { served.push_back(content); };
            result.random = [this] { return ++m_lastId; };
            return result;
        }

        std::uint64_t m_lastId = 0;
        routed_target m_target;
    };

}

// The load: every server of a service refuses over half of what it gets for eight
// seconds while its health is good. The limit of 28 slots fell to one by a fifth for
// each window of refusals, and 28% were served until the processes were killed.
TEST(RoutedTarget, KeepsTheSlotsOfAServerThatRefusesForAReasonOfItsOwn)
{
    target_world world;
    for (int i = 0; i < 2000; ++i) {
        world.now += milliseconds(4);
        world.arrive();
        if (!world.running.empty()) {
            world.serverAnswers(i % 2 == 0 ? verdict::notRun(verdict_reason::BackendRefused) : verdict::answered());
        }
    }
    EXPECT_EQ(world.target().gate().limit(), slots);
}

// A server that is nearly full may become slower, so that the last of its slots stay free.
TEST(RoutedTarget, GivesAServerNeverMoreThanItsUsableSlots)
{
    target_world world;
    for (std::uint32_t i = 0; i < 3 * announcedSlots; ++i) {
        world.arrive();
    }
    EXPECT_EQ(world.running.size(), slots);
    EXPECT_LT(slots, announcedSlots);
}

TEST(RoutedTarget, BeginsNothingOnceTheServerLeaves)
{
    target_world world;
    for (std::uint32_t i = 0; i < slots + 5; ++i) {
        world.arrive();
    }
    ASSERT_EQ(world.running.size(), slots);
    world.server.condition = server_condition::Draining;
    world.target().setServer(world.server, false, world.now);
    EXPECT_EQ(world.refusals(), 5);
    world.arrive();
    EXPECT_EQ(world.refusals(), 6);
    EXPECT_EQ(world.answers.back().outcome.reason, verdict_reason::Draining);
    world.serverAnswers(verdict::answered());
    EXPECT_EQ(world.running.size(), slots - 1);
}

TEST(RoutedTarget, RefusesWhatIsForAnotherService)
{
    target_world world;
    world.server.service = "threads";
    world.target().setServer(world.server, true, world.now);
    world.arrive();
    ASSERT_EQ(world.answers.size(), 1U);
    EXPECT_EQ(world.answers.front().outcome.run, execution::NotRun);
}

TEST(RoutedTarget, DropsTheRunOfACallerThatLeft)
{
    target_world world;
    auto id = world.arrive();
    world.target().cancel(id, world.now);
    EXPECT_EQ(world.cancelled, std::vector<std::uint64_t> { id });
    EXPECT_EQ(world.target().inProgress(), 0U);
}

// The load: requests that have used three services meet the fourth, which is full of
// requests that have used none. Whole requests are refused for the sake of begun ones.
TEST(RoutedTarget, PrefersWhatHasBegunToWhatBegins)
{
    target_world world;
    for (std::uint32_t i = 0; i < slots + 12; ++i) {
        world.arrive();
    }
    auto begun = world.arrive(2);
    world.serverAnswers(verdict::answered());
    EXPECT_EQ(world.running.back(), begun);
}

TEST(RoutedTarget, TellsTheCutThatTheRunsOwnCallsMet)
{
    target_world world;
    auto id = world.arrive();
    world.target().learnOnward(id, { "stays", 1000, { "stays", milliseconds(15) }, 1 });
    world.target().learnOnward(id, { "notices", 1200, { "notices", milliseconds(20) }, 4 });
    world.target().learnOnward(id, { "notices", 1600, { "notices", milliseconds(24) }, 0 });
    world.serverAnswers(verdict::answered());
    EXPECT_EQ(world.answers.back().cut, 1400U);
    // All calls to the narrowest service count together.
    EXPECT_EQ(world.answers.back().cost.service, "notices");
    EXPECT_EQ(world.answers.back().cost.slotTime, milliseconds(44));
    EXPECT_EQ(world.answers.back().zoneCrossings, 5U);
}

TEST(RoutedTarget, TellsForHowLongARequestHeldItsSlot)
{
    target_world world;
    world.arrive();
    world.now += milliseconds(490);
    world.serverAnswers(verdict::answered());
    EXPECT_EQ(world.answers.back().cost.service, "notices");
    EXPECT_EQ(world.answers.back().cost.slotTime, milliseconds(490));
}

TEST(RoutedTarget, FindsTheRunOfACallByItsDeadline)
{
    target_world world;
    auto id = world.arrive();
    auto parent = world.target().findParent("", world.now + milliseconds(2000));
    ASSERT_TRUE(parent);
    EXPECT_EQ(parent->runId, id);
    EXPECT_FALSE(world.target().findParent("", world.now + milliseconds(5000)));
}

// The load: calls that are bound to end before their run carry no deadline of its own;
// 3768 of them in six seconds were refused at the entrance as if they were whole requests.
TEST(RoutedTarget, FindsTheRunOfACallByTheRequestThatItNames)
{
    target_world world;
    auto first = world.arrive();
    auto second = world.arrive();
    auto parent = world.target().findParent("request-" + std::to_string(second), world.now + milliseconds(700));
    ASSERT_TRUE(parent);
    EXPECT_EQ(parent->runId, second);
    EXPECT_FALSE(world.target().findParent("stranger", world.now + milliseconds(2000)));
    world.target().cancel(first, world.now);
    EXPECT_FALSE(world.target().findParent("request-" + std::to_string(first), world.now + milliseconds(700)));
}

// A server that starts again under its id has forgotten what it ran. Whoever waits is told
// at once, and not at the deadline.
TEST(RoutedTarget, AnswersAtOnceWhatAStartThatIsOverRan)
{
    target_world world;
    world.server.start.born = std::chrono::system_clock::time_point(std::chrono::seconds(10));
    world.target().setServer(world.server, true, world.now);
    for (std::uint32_t i = 0; i < 3; ++i) {
        world.arrive();
    }
    auto begun = world.running;
    world.startsAgain = 0;
    world.server.start.born = std::chrono::system_clock::time_point(std::chrono::seconds(20));
    world.target().setServer(world.server, true, world.now);
    ASSERT_EQ(world.answers.size(), 3U);
    for (const auto& answer : world.answers) {
        EXPECT_EQ(answer.outcome.run, execution::MayHaveRun);
        EXPECT_EQ(answer.outcome.reason, verdict_reason::AnswerLost);
    }
    EXPECT_EQ(world.cancelled.size(), begun.size());
    EXPECT_EQ(world.startsAgain, 1);
    EXPECT_EQ(world.target().inProgress(), 0U);
    world.running.clear();
    world.arrive();
    EXPECT_EQ(world.running.size(), 1U);
}

// Its report may be the late one: what runs goes on until the server itself has spoken.
TEST(RoutedTarget, LeavesTheRunsWhereAnotherServerIsReported)
{
    target_world world;
    world.arrive();
    world.server.start.instanceId = "i-2";
    world.target().setServer(world.server, true, world.now);
    EXPECT_TRUE(world.answers.empty());
    EXPECT_TRUE(world.cancelled.empty());
    EXPECT_EQ(world.startsAgain, 0);
}

TEST(RoutedTarget, RefusesAtOnceACallThatIsNotToWait)
{
    target_world world;
    for (std::uint32_t i = 0; i < slots; ++i) {
        world.arrive(0, 0, true);
    }
    EXPECT_EQ(world.running.size(), slots);
    world.arrive(1, 0, true);
    ASSERT_EQ(world.answers.size(), 1U);
    EXPECT_EQ(world.answers.back().outcome.run, execution::NotRun);
    EXPECT_EQ(world.answers.back().outcome.reason, verdict_reason::NoFreeSlot);
    EXPECT_EQ(world.answers.back().inFlight, slots);
    // One that may wait does, and goes before a later one that may not.
    world.arrive();
    world.serverAnswers(verdict::answered());
    EXPECT_EQ(world.running.size(), slots);
    EXPECT_EQ(world.answers.size(), 2U);
}

// What waits has not been sent to the start that is over, and runs at the next one.
TEST(RoutedTarget, RunsAtTheNextStartWhatWaitedForTheLast)
{
    target_world world;
    world.server.start.born = std::chrono::system_clock::time_point(std::chrono::seconds(10));
    world.target().setServer(world.server, true, world.now);
    constexpr std::uint32_t waiting = 3;
    for (std::uint32_t i = 0; i < slots + waiting; ++i) {
        world.arrive();
    }
    world.running.clear();
    world.server.start.born = std::chrono::system_clock::time_point(std::chrono::seconds(20));
    world.target().setServer(world.server, true, world.now);
    EXPECT_EQ(world.answers.size(), slots);
    EXPECT_EQ(world.refusals(), 0);
    EXPECT_EQ(world.running.size(), waiting);
}

TEST(RoutedTarget, TellsUnderWhatItsServerHasEnded)
{
    target_world world;
    world.arrive();
    world.path = "/x/2";
    world.arrive();
    world.arrive();
    world.serverAnswers(verdict::answered());
    EXPECT_EQ(world.served, std::vector { fingerprintOf("/x/1", "") });
    world.serverAnswers(verdict::mayHaveRun(verdict_reason::AnswerLost));
    world.serverAnswers(verdict::mayHaveRun(verdict_reason::AnswerLost));
    EXPECT_TRUE(world.ends.empty());
    world.now += milliseconds(50);
    world.target().tick(world.now);
    world.target().tick(world.now);
    EXPECT_EQ(world.asked, 1);
    EXPECT_TRUE(world.target().doubtsServer());
    world.target().serverAsked(server_presence::Gone, world.now);
    ASSERT_EQ(world.ends.size(), 1U);
    EXPECT_EQ(world.ends.front().start.instanceId, "i-1");
    EXPECT_EQ(world.ends.front().running, std::vector { fingerprintOf("/x/2", "") });
    EXPECT_FALSE(world.target().doubtsServer());
}

// Two servers that are lost together would else take it away from everybody.
TEST(RoutedTarget, SuspectsNothingThatItsServerHasJustServed)
{
    target_world world;
    world.arrive();
    world.serverAnswers(verdict::answered());
    world.arrive();
    world.path = "/x/2";
    world.arrive();
    world.serverAnswers(verdict::mayHaveRun(verdict_reason::AnswerLost));
    world.serverAnswers(verdict::mayHaveRun(verdict_reason::AnswerLost));
    world.target().serverAsked(server_presence::Gone, world.now);
    ASSERT_EQ(world.ends.size(), 1U);
    EXPECT_EQ(world.ends.front().running, std::vector { fingerprintOf("/x/2", "") });
}

// A server that gives up at the deadline has not shown that the content is harmless.
TEST(RoutedTarget, ClearsNoContentByAFailureOfItsServer)
{
    target_world world;
    world.arrive();
    world.serverAnswers(verdict::answered(), 504);
    EXPECT_TRUE(world.served.empty());
}

TEST(RoutedTarget, TellsOfAnEndByTheNextStart)
{
    target_world world;
    world.arrive();
    world.serverAnswers(verdict::mayHaveRun(verdict_reason::AnswerLost));
    world.server.start.instanceId = "i-2";
    world.target().setServer(world.server, true, world.now);
    ASSERT_EQ(world.ends.size(), 1U);
    EXPECT_EQ(world.ends.front().start.instanceId, "i-1");
}

TEST(RoutedTarget, GivesItsServerNothingUnderWhichOthersHaveEnded)
{
    target_world world;
    for (std::uint32_t i = 0; i < slots; ++i) {
        world.arrive();
    }
    world.path = "/x/2";
    world.arrive();
    EXPECT_TRUE(world.answers.empty());
    world.poison = { fingerprintOf("/x/2", "") };
    world.arrive();
    ASSERT_EQ(world.answers.size(), 1U);
    EXPECT_EQ(world.answers.back().outcome.run, execution::NotRun);
    EXPECT_EQ(world.answers.back().outcome.reason, verdict_reason::Poison);
    // The one that waits since before is not begun either.
    world.serverAnswers(verdict::answered());
    EXPECT_EQ(world.answers.size(), 3U);
    EXPECT_EQ(world.refusals(), 2);
    EXPECT_EQ(world.running.size(), slots - 1);
}

TEST(RoutedTarget, GivesItsServerOneAtATimeOfWhatOthersHaveEndedUnder)
{
    target_world world;
    world.standing = poison_status::Suspect;
    world.poison = { fingerprintOf("/x/1", "") };
    world.arrive();
    world.arrive();
    EXPECT_EQ(world.running.size(), 1U);
    ASSERT_EQ(world.answers.size(), 1U);
    EXPECT_EQ(world.answers.back().outcome.run, execution::NotRun);
    EXPECT_EQ(world.answers.back().outcome.reason, verdict_reason::Poison);
    EXPECT_GT(world.answers.back().outcome.retryAfter.count(), 0);
    world.path = "/x/2";
    world.arrive();
    world.arrive();
    EXPECT_EQ(world.running.size(), 3U);
    world.path = "/x/1";
    world.serverAnswers(verdict::answered());
    world.arrive();
    EXPECT_EQ(world.running.size(), 3U);
}

// The load: a server's machine is slow for half a second, while others have free slots.
TEST(RoutedTarget, PassesOnWhatMayGoElsewhereWhileItsServerIsSlow)
{
    target_world world;
    world.target().serverTold(world.server.start, { 0, 0, announcedSlots, 2.5 }, world.now);
    world.arrive(0, 0, true);
    ASSERT_EQ(world.answers.size(), 1U);
    EXPECT_EQ(world.answers.back().outcome.run, execution::NotRun);
    EXPECT_EQ(world.answers.back().outcome.reason, verdict_reason::NoFreeSlot);
    // One that has nowhere else to go runs.
    world.arrive();
    EXPECT_EQ(world.running.size(), 1U);
    // What it told is over soon.
    world.now += milliseconds(400);
    world.arrive(0, 0, true);
    EXPECT_EQ(world.running.size(), 2U);
}

TEST(RoutedTarget, TellsTheUsualTimeOfAClassOnceItsServerHasToldItsSpeed)
{
    target_world world;
    for (int i = 0; i < 5; ++i) {
        world.arrive();
        world.now += milliseconds(80);
        world.serverAnswers(verdict::answered());
        EXPECT_EQ(world.answers.back().meanServiceTime.count(), 0);
    }
    world.target().serverTold(world.server.start, { 0, 0, announcedSlots, 1 }, world.now);
    world.arrive();
    world.now += milliseconds(80);
    world.serverAnswers(verdict::answered());
    EXPECT_EQ(world.answers.back().meanServiceTime, milliseconds(80));
}

// A server that has just started works at half its speed for some seconds, and says so.
TEST(RoutedTarget, TakesNoTimeOfAServerThatIsStillColdForUsual)
{
    target_world world;
    world.server.warmupLeft = milliseconds(1000);
    world.target().setServer(world.server, true, world.now);
    world.target().serverTold(world.server.start, { 0, 0, announcedSlots, 1 }, world.now);
    for (int i = 0; i < 10; ++i) {
        world.arrive();
        world.now += milliseconds(90);
        world.serverAnswers(verdict::answered());
        EXPECT_EQ(world.answers.back().meanServiceTime.count(), 0);
    }
    world.now += milliseconds(200);
    for (int i = 0; i < 5; ++i) {
        world.arrive();
        world.now += milliseconds(40);
        world.serverAnswers(verdict::answered());
    }
    EXPECT_EQ(world.answers.back().meanServiceTime, milliseconds(40));
}

// A restart under the same id: what the last start told, also late, says nothing of this one.
TEST(RoutedTarget, ForgetsTheSpeedOfAnotherStartOfItsServer)
{
    target_world world;
    auto before = world.server.start;
    world.target().serverTold(before, { 0, 0, announcedSlots, 2.5 }, world.now);
    world.server.start.born = std::chrono::system_clock::time_point(milliseconds(1000));
    world.target().setServer(world.server, true, world.now);
    EXPECT_FALSE(world.target().pace().isSlow(world.now));
    world.target().serverTold(before, { 0, 0, announcedSlots, 2.5 }, world.now);
    EXPECT_FALSE(world.target().pace().isSlow(world.now));
    world.target().serverTold(world.server.start, { 0, 0, announcedSlots, 2.5 }, world.now);
    EXPECT_TRUE(world.target().pace().isSlow(world.now));
}

}
