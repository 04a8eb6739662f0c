#include "admission/usable_slots.h"
#include "node/routed_target.h"

#include <gtest/gtest.h>

#include <deque>
#include <random>

namespace vanillashunt {

namespace {

    using time_point = routed_target::time_point;
    using std::chrono::milliseconds;

    constexpr std::uint32_t announcedSlots = 28;
    const std::uint32_t slots = usableSlots(announcedSlots);

    // A target with one backend server. Records its runs and answers.
    class target_harness {
    public:
        target_harness()
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

        // An answer of the current start announces this.
        void announce(std::optional<double> rateLimit, bool isLeaving) { m_target.noticeReceived(server.start, { { rateLimit, isLeaving }, true, now, now }, now); }

        // A call arrives whose sender knows this of the server.
        void arriveWith(const relayed_notice& notice)
        {
            call_request request;
            request.service = "notices";
            request.path = path;
            request.context.requestId = "relaying";
            request.context.deadline = now + milliseconds(2000);
            request.notice = notice;
            m_target.arrive(
                std::move(request), [this](const call_answer& answer) { answers.push_back(answer); }, now);
        }

        // Calls arrive every few milliseconds for so long; the server answers each at once.
        void offerCalls(milliseconds length)
        {
            for (auto end = now + length; now < end; now += milliseconds(5)) {
                arrive(0, static_cast<shedding_position>(m_random() % sheddingPositionCount));
                m_target.tick(now);
                started += running.size();
                while (!running.empty()) {
                    serverAnswers(verdict::answered());
                }
            }
        }

        // The server answers the call that has been running for the longest time.
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
            for (const auto& callAnswer : answers) {
                count += callAnswer.outcome.run == execution::NotRun ? 1 : 0;
            }
            return count;
        }

        routed_target& target() { return m_target; }

        server_report server;
        time_point now { std::chrono::seconds(100) };
        std::deque<std::uint64_t> running;
        std::vector<std::uint64_t> cancelled;
        std::vector<call_answer> answers;
        int restarts = 0;
        std::string path = "/x/1";
        // Contents that have the standing below; all others are harmless.
        std::vector<request_fingerprint> listedContents;
        poison_status standing = poison_status::Poison;
        int serverChecks = 0;
        // Calls that offerCalls() started.
        std::size_t started = 0;
        std::vector<server_notice> noticeChanges;
        std::vector<server_end> serverEnds;
        std::vector<request_fingerprint> servedContents;

    private:
        target_hooks hooks()
        {
            target_hooks result;
            result.run = [this](std::uint64_t runId, const server_report&, const call_request&, time_point) { running.push_back(runId); };
            result.cancelRun = [this](std::uint64_t runId) { cancelled.push_back(runId); };
            result.serverRestarted = [this] { ++restarts; };
            result.checkServer = [this] { ++serverChecks; };
            result.serverEnded = [this](const server_end& end) { serverEnds.push_back(end); };
            result.standingOf = [this](request_fingerprint content) {
                return std::count(listedContents.begin(), listedContents.end(), content) != 0 ? standing : poison_status::Harmless;
            };
            result.contentServed = [this](request_fingerprint content) { servedContents.push_back(content); };
            result.noticeChanged = [this](const server_start&, const server_notice& notice) { noticeChanges.push_back(notice); };
            result.random = [this] { return ++m_lastId; };
            return result;
        }

        std::mt19937 m_random { 1 };
        std::uint64_t m_lastId = 0;
        routed_target m_target;
    };

}

// Guards against lowering the limit for refusals that load does not cause. When every server of
// a service refused over half of its calls for eight seconds while its health was good, the limit
// of 28 slots fell by a fifth in each window with refusals, down to one, and only 28% of the
// requests were served until the processes were killed.
TEST(RoutedTarget, KeepsTheLimitOfAServerThatRefusesForOtherReasonsThanLoad)
{
    target_harness harness;
    for (int i = 0; i < 2000; ++i) {
        harness.now += milliseconds(4);
        harness.arrive();
        if (!harness.running.empty()) {
            harness.serverAnswers(i % 2 == 0 ? verdict::notRun(verdict_reason::BackendRefused) : verdict::answered());
        }
    }
    EXPECT_EQ(harness.target().gate().limit(), slots);
}

// A server that is nearly full may become slower, so the last of its slots stay free.
TEST(RoutedTarget, NeverGivesAServerMoreThanItsUsableSlots)
{
    target_harness harness;
    for (std::uint32_t i = 0; i < 3 * announcedSlots; ++i) {
        harness.arrive();
    }
    EXPECT_EQ(harness.running.size(), slots);
    EXPECT_LT(slots, announcedSlots);
}

TEST(RoutedTarget, StartsNoCallOnceTheServerDrains)
{
    target_harness harness;
    for (std::uint32_t i = 0; i < slots + 5; ++i) {
        harness.arrive();
    }
    ASSERT_EQ(harness.running.size(), slots);
    harness.server.condition = server_condition::Draining;
    harness.target().setServer(harness.server, false, harness.now);
    EXPECT_EQ(harness.refusals(), 5);
    harness.arrive();
    EXPECT_EQ(harness.refusals(), 6);
    EXPECT_EQ(harness.answers.back().outcome.reason, verdict_reason::Draining);
    harness.serverAnswers(verdict::answered());
    EXPECT_EQ(harness.running.size(), slots - 1);
}

TEST(RoutedTarget, RefusesCallsForAnotherService)
{
    target_harness harness;
    harness.server.service = "threads";
    harness.target().setServer(harness.server, true, harness.now);
    harness.arrive();
    ASSERT_EQ(harness.answers.size(), 1U);
    EXPECT_EQ(harness.answers.front().outcome.run, execution::NotRun);
}

TEST(RoutedTarget, CancelsTheRunOfACallerThatLeft)
{
    target_harness harness;
    auto id = harness.arrive();
    harness.target().cancel(id, harness.now);
    EXPECT_EQ(harness.cancelled, std::vector<std::uint64_t> { id });
    EXPECT_EQ(harness.target().inProgress(), 0U);
}

// Requests that have used three services arrive at a fourth one, which is full of requests that
// have used none. New requests are refused in favour of begun ones.
TEST(RoutedTarget, PrefersCallsOfBegunRequests)
{
    target_harness harness;
    for (std::uint32_t i = 0; i < slots + 12; ++i) {
        harness.arrive();
    }
    auto begun = harness.arrive(2);
    harness.serverAnswers(verdict::answered());
    EXPECT_EQ(harness.running.back(), begun);
}

TEST(RoutedTarget, ReportsTheCutThatTheRunsOnwardCallsMet)
{
    target_harness harness;
    auto id = harness.arrive();
    harness.target().recordOnwardCall(id, { "stays", 1000, { "stays", milliseconds(15) }, 1 });
    harness.target().recordOnwardCall(id, { "notices", 1200, { "notices", milliseconds(20) }, 4 });
    harness.target().recordOnwardCall(id, { "notices", 1600, { "notices", milliseconds(24) }, 0 });
    harness.serverAnswers(verdict::answered());
    EXPECT_EQ(harness.answers.back().cut, 1400U);
    // The costs of all calls to the narrowest service are added.
    EXPECT_EQ(harness.answers.back().cost.service, "notices");
    EXPECT_EQ(harness.answers.back().cost.slotTime, milliseconds(44));
    EXPECT_EQ(harness.answers.back().zoneCrossings, 5U);
}

TEST(RoutedTarget, ReportsForHowLongARequestHeldItsSlot)
{
    target_harness harness;
    harness.arrive();
    harness.now += milliseconds(490);
    harness.serverAnswers(verdict::answered());
    EXPECT_EQ(harness.answers.back().cost.service, "notices");
    EXPECT_EQ(harness.answers.back().cost.slotTime, milliseconds(490));
}

TEST(RoutedTarget, FindsTheRunOfACallByItsDeadline)
{
    target_harness harness;
    auto id = harness.arrive();
    auto parent = harness.target().findParent("", harness.now + milliseconds(2000));
    ASSERT_TRUE(parent);
    EXPECT_EQ(parent->runId, id);
    EXPECT_FALSE(harness.target().findParent("", harness.now + milliseconds(5000)));
}

// Guards against taking onward calls for client requests. An onward call with a shorter timeout
// than its run does not have the run's deadline; 3768 such calls in six seconds were refused at
// the entrance.
TEST(RoutedTarget, FindsTheRunOfACallByItsParentId)
{
    target_harness harness;
    auto first = harness.arrive();
    auto second = harness.arrive();
    auto parent = harness.target().findParent("request-" + std::to_string(second), harness.now + milliseconds(700));
    ASSERT_TRUE(parent);
    EXPECT_EQ(parent->runId, second);
    EXPECT_FALSE(harness.target().findParent("stranger", harness.now + milliseconds(2000)));
    harness.target().cancel(first, harness.now);
    EXPECT_FALSE(harness.target().findParent("request-" + std::to_string(first), harness.now + milliseconds(700)));
}

// A server that restarts under the same id has lost its runs. Their callers are answered at once
// and not at the deadline.
TEST(RoutedTarget, AnswersTheRunsOfAPreviousStartAtOnce)
{
    target_harness harness;
    harness.server.start.born = std::chrono::system_clock::time_point(std::chrono::seconds(10));
    harness.target().setServer(harness.server, true, harness.now);
    for (std::uint32_t i = 0; i < 3; ++i) {
        harness.arrive();
    }
    auto begun = harness.running;
    harness.restarts = 0;
    harness.server.start.born = std::chrono::system_clock::time_point(std::chrono::seconds(20));
    harness.target().setServer(harness.server, true, harness.now);
    ASSERT_EQ(harness.answers.size(), 3U);
    for (const auto& answer : harness.answers) {
        EXPECT_EQ(answer.outcome.run, execution::MayHaveRun);
        EXPECT_EQ(answer.outcome.reason, verdict_reason::AnswerLost);
    }
    EXPECT_EQ(harness.cancelled.size(), begun.size());
    EXPECT_EQ(harness.restarts, 1);
    EXPECT_EQ(harness.target().inProgress(), 0U);
    harness.running.clear();
    harness.arrive();
    EXPECT_EQ(harness.running.size(), 1U);
}

// The report may be outdated: runs continue until the server itself answers.
TEST(RoutedTarget, KeepsTheRunsIfAnotherServerIsReported)
{
    target_harness harness;
    harness.arrive();
    harness.server.start.instanceId = "i-2";
    harness.target().setServer(harness.server, true, harness.now);
    EXPECT_TRUE(harness.answers.empty());
    EXPECT_TRUE(harness.cancelled.empty());
    EXPECT_EQ(harness.restarts, 0);
}

TEST(RoutedTarget, RefusesAtOnceACallThatMustNotWait)
{
    target_harness harness;
    for (std::uint32_t i = 0; i < slots; ++i) {
        harness.arrive(0, 0, true);
    }
    EXPECT_EQ(harness.running.size(), slots);
    harness.arrive(1, 0, true);
    ASSERT_EQ(harness.answers.size(), 1U);
    EXPECT_EQ(harness.answers.back().outcome.run, execution::NotRun);
    EXPECT_EQ(harness.answers.back().outcome.reason, verdict_reason::NoFreeSlot);
    EXPECT_EQ(harness.answers.back().inFlight, slots);
    // A call that may wait gets the next free slot.
    harness.arrive();
    harness.serverAnswers(verdict::answered());
    EXPECT_EQ(harness.running.size(), slots);
    EXPECT_EQ(harness.answers.size(), 2U);
}

// Waiting calls were not sent to the previous start, so they run at the next one.
TEST(RoutedTarget, RunsWaitingCallsAtTheNextStart)
{
    target_harness harness;
    harness.server.start.born = std::chrono::system_clock::time_point(std::chrono::seconds(10));
    harness.target().setServer(harness.server, true, harness.now);
    constexpr std::uint32_t waiting = 3;
    for (std::uint32_t i = 0; i < slots + waiting; ++i) {
        harness.arrive();
    }
    harness.running.clear();
    harness.server.start.born = std::chrono::system_clock::time_point(std::chrono::seconds(20));
    harness.target().setServer(harness.server, true, harness.now);
    EXPECT_EQ(harness.answers.size(), slots);
    EXPECT_EQ(harness.refusals(), 0);
    EXPECT_EQ(harness.running.size(), waiting);
}

TEST(RoutedTarget, ReportsTheContentsRunningWhenTheServerTerminated)
{
    target_harness harness;
    harness.arrive();
    harness.path = "/x/2";
    harness.arrive();
    harness.arrive();
    harness.serverAnswers(verdict::answered());
    EXPECT_EQ(harness.servedContents, std::vector { fingerprintOf("/x/1", "") });
    harness.serverAnswers(verdict::mayHaveRun(verdict_reason::AnswerLost));
    harness.serverAnswers(verdict::mayHaveRun(verdict_reason::AnswerLost));
    EXPECT_TRUE(harness.serverEnds.empty());
    harness.now += milliseconds(50);
    harness.target().tick(harness.now);
    harness.target().tick(harness.now);
    EXPECT_EQ(harness.serverChecks, 1);
    EXPECT_TRUE(harness.target().isServerInDoubt());
    harness.target().serverChecked(server_presence::Gone, harness.now);
    ASSERT_EQ(harness.serverEnds.size(), 1U);
    EXPECT_EQ(harness.serverEnds.front().start.instanceId, "i-1");
    EXPECT_EQ(harness.serverEnds.front().running, std::vector { fingerprintOf("/x/2", "") });
    EXPECT_FALSE(harness.target().isServerInDoubt());
}

// Otherwise two servers that are lost together could make a frequently requested content poison.
TEST(RoutedTarget, DoesNotSuspectRecentlyServedContents)
{
    target_harness harness;
    harness.arrive();
    harness.serverAnswers(verdict::answered());
    harness.arrive();
    harness.path = "/x/2";
    harness.arrive();
    harness.serverAnswers(verdict::mayHaveRun(verdict_reason::AnswerLost));
    harness.serverAnswers(verdict::mayHaveRun(verdict_reason::AnswerLost));
    harness.target().serverChecked(server_presence::Gone, harness.now);
    ASSERT_EQ(harness.serverEnds.size(), 1U);
    EXPECT_EQ(harness.serverEnds.front().running, std::vector { fingerprintOf("/x/2", "") });
}

// A server that gives up at the deadline has not shown that the content is harmless.
TEST(RoutedTarget, DoesNotClearAContentByAServerError)
{
    target_harness harness;
    harness.arrive();
    harness.serverAnswers(verdict::answered(), 504);
    EXPECT_TRUE(harness.servedContents.empty());
}

TEST(RoutedTarget, ReportsATerminationAtTheNextStart)
{
    target_harness harness;
    harness.arrive();
    harness.serverAnswers(verdict::mayHaveRun(verdict_reason::AnswerLost));
    harness.server.start.instanceId = "i-2";
    harness.target().setServer(harness.server, true, harness.now);
    ASSERT_EQ(harness.serverEnds.size(), 1U);
    EXPECT_EQ(harness.serverEnds.front().start.instanceId, "i-1");
}

TEST(RoutedTarget, RefusesPoison)
{
    target_harness harness;
    for (std::uint32_t i = 0; i < slots; ++i) {
        harness.arrive();
    }
    harness.path = "/x/2";
    harness.arrive();
    EXPECT_TRUE(harness.answers.empty());
    harness.listedContents = { fingerprintOf("/x/2", "") };
    harness.arrive();
    ASSERT_EQ(harness.answers.size(), 1U);
    EXPECT_EQ(harness.answers.back().outcome.run, execution::NotRun);
    EXPECT_EQ(harness.answers.back().outcome.reason, verdict_reason::Poison);
    // The call of this content that was already waiting is not started either.
    harness.serverAnswers(verdict::answered());
    EXPECT_EQ(harness.answers.size(), 3U);
    EXPECT_EQ(harness.refusals(), 2);
    EXPECT_EQ(harness.running.size(), slots - 1);
}

TEST(RoutedTarget, RunsCallsOfASuspectContentOneAtATime)
{
    target_harness harness;
    harness.standing = poison_status::Suspect;
    harness.listedContents = { fingerprintOf("/x/1", "") };
    harness.arrive();
    harness.arrive();
    EXPECT_EQ(harness.running.size(), 1U);
    ASSERT_EQ(harness.answers.size(), 1U);
    EXPECT_EQ(harness.answers.back().outcome.run, execution::NotRun);
    EXPECT_EQ(harness.answers.back().outcome.reason, verdict_reason::Poison);
    EXPECT_GT(harness.answers.back().outcome.retryAfter.count(), 0);
    harness.path = "/x/2";
    harness.arrive();
    harness.arrive();
    EXPECT_EQ(harness.running.size(), 3U);
    harness.path = "/x/1";
    harness.serverAnswers(verdict::answered());
    harness.arrive();
    EXPECT_EQ(harness.running.size(), 3U);
}

// A server's machine is slow for half a second while other servers have free slots.
TEST(RoutedTarget, RefusesCallsThatCanRunElsewhereWhileTheServerIsSlow)
{
    target_harness harness;
    harness.target().serverReportedLoad(harness.server.start, { 0, 0, announcedSlots, 2.5 }, harness.now);
    harness.arrive(0, 0, true);
    ASSERT_EQ(harness.answers.size(), 1U);
    EXPECT_EQ(harness.answers.back().outcome.run, execution::NotRun);
    EXPECT_EQ(harness.answers.back().outcome.reason, verdict_reason::NoFreeSlot);
    // A call that cannot run elsewhere runs here.
    harness.arrive();
    EXPECT_EQ(harness.running.size(), 1U);
    // The reported slowdown expires soon.
    harness.now += milliseconds(400);
    harness.arrive(0, 0, true);
    EXPECT_EQ(harness.running.size(), 2U);
}

TEST(RoutedTarget, ReportsTheUsualTimeOfAClassOnceTheServerHasReportedItsSpeed)
{
    target_harness harness;
    for (int i = 0; i < 5; ++i) {
        harness.arrive();
        harness.now += milliseconds(80);
        harness.serverAnswers(verdict::answered());
        EXPECT_EQ(harness.answers.back().meanServiceTime.count(), 0);
    }
    harness.target().serverReportedLoad(harness.server.start, { 0, 0, announcedSlots, 1 }, harness.now);
    harness.arrive();
    harness.now += milliseconds(80);
    harness.serverAnswers(verdict::answered());
    EXPECT_EQ(harness.answers.back().meanServiceTime, milliseconds(80));
}

// A server that has just started works at half its speed for some seconds and announces this.
TEST(RoutedTarget, IgnoresTheTimesOfAServerThatIsWarmingUp)
{
    target_harness harness;
    harness.server.warmupLeft = milliseconds(1000);
    harness.target().setServer(harness.server, true, harness.now);
    harness.target().serverReportedLoad(harness.server.start, { 0, 0, announcedSlots, 1 }, harness.now);
    for (int i = 0; i < 10; ++i) {
        harness.arrive();
        harness.now += milliseconds(90);
        harness.serverAnswers(verdict::answered());
        EXPECT_EQ(harness.answers.back().meanServiceTime.count(), 0);
    }
    harness.now += milliseconds(200);
    for (int i = 0; i < 5; ++i) {
        harness.arrive();
        harness.now += milliseconds(40);
        harness.serverAnswers(verdict::answered());
    }
    EXPECT_EQ(harness.answers.back().meanServiceTime, milliseconds(40));
}

// After a restart under the same id, reports of the previous start, also late ones, do not count.
TEST(RoutedTarget, ForgetsTheSpeedOfAPreviousStart)
{
    target_harness harness;
    auto before = harness.server.start;
    harness.target().serverReportedLoad(before, { 0, 0, announcedSlots, 2.5 }, harness.now);
    harness.server.start.born = std::chrono::system_clock::time_point(milliseconds(1000));
    harness.target().setServer(harness.server, true, harness.now);
    EXPECT_FALSE(harness.target().pace().isSlow(harness.now));
    harness.target().serverReportedLoad(before, { 0, 0, announcedSlots, 2.5 }, harness.now);
    EXPECT_FALSE(harness.target().pace().isSlow(harness.now));
    harness.target().serverReportedLoad(harness.server.start, { 0, 0, announcedSlots, 2.5 }, harness.now);
    EXPECT_TRUE(harness.target().pace().isSlow(harness.now));
}

// Guards against a server that gets more requests per second than it takes although slots are free.
TEST(RoutedTarget, StartsNoMoreCallsThanTheServersRateLimit)
{
    target_harness harness;
    harness.announce(10, false);
    harness.offerCalls(std::chrono::seconds(20));
    EXPECT_LE(harness.started, 206U);
    EXPECT_GE(harness.started, 180U);
    harness.announce(std::nullopt, false);
    harness.offerCalls(std::chrono::seconds(1));
    harness.started = 0;
    harness.offerCalls(std::chrono::seconds(1));
    EXPECT_EQ(harness.started, 200U);
}

// Guards against a limit that waiting calls evade: calls that were admitted to the queue before the
// server named its limit start within it.
TEST(RoutedTarget, StartsWaitingCallsWithinARateLimitThatWasNamedMeanwhile)
{
    target_harness harness;
    for (std::uint32_t i = 0; i < slots + 10; ++i) {
        harness.arrive();
    }
    harness.announce(10, false);
    harness.running.clear();
    for (std::uint32_t i = 0; i < slots; ++i) {
        harness.running.push_back(i);
    }
    auto before = harness.running.size();
    for (int i = 0; i < 20; ++i) {
        harness.now += milliseconds(5);
        harness.target().tick(harness.now);
    }
    EXPECT_LE(harness.running.size(), before + 1);
}

// Guards against a limit that dies with the process of the server's node. The new process learns it
// from the first sender that is bound by it, before it starts that call.
TEST(RoutedTarget, LearnsARateLimitFromTheFirstSenderThatKnowsIt)
{
    target_harness harness;
    relayed_notice told { hashOf(harness.server.start), { 10, false }, 99, 1, milliseconds(700) };
    harness.arriveWith(told);
    EXPECT_TRUE(harness.running.empty());
    EXPECT_EQ(harness.target().notice().rateLimit, 10);
    ASSERT_EQ(harness.noticeChanges.size(), 1U);
}

// Guards against a limit of an earlier start, or of another server, that a sender still remembers.
TEST(RoutedTarget, IgnoresARelayedNoticeOfAnotherStart)
{
    target_harness harness;
    harness.arriveWith({ hashOf({ "i-0" }), { 1, true }, 99, 1, {} });
    EXPECT_EQ(harness.running.size(), 1U);
    harness.serverAnswers(verdict::answered());
    // The sender gets to know that its notice is outdated.
    ASSERT_TRUE(harness.answers.back().notice);
    EXPECT_EQ(harness.answers.back().notice->start, hashOf(harness.server.start));
    EXPECT_FALSE(harness.answers.back().notice->notice.isLeaving);
}

// Guards against requests to a server that says in its answers that it leaves, while its reports go
// on saying that it is ready. Waiting calls are refused, so that they run elsewhere.
TEST(RoutedTarget, StartsNoCallOnceTheServerAnnouncesThatItLeaves)
{
    target_harness harness;
    for (std::uint32_t i = 0; i < slots + 5; ++i) {
        harness.arrive();
    }
    harness.announce(std::nullopt, true);
    EXPECT_EQ(harness.refusals(), 5);
    harness.target().setServer(harness.server, true, harness.now);
    harness.arrive();
    EXPECT_EQ(harness.refusals(), 6);
    EXPECT_EQ(harness.answers.back().outcome.reason, verdict_reason::Draining);
    EXPECT_EQ(harness.running.size(), slots);
    // The next start takes work.
    harness.server.start.born = std::chrono::system_clock::time_point(milliseconds(1));
    harness.target().setServer(harness.server, true, harness.now);
    harness.running.clear();
    harness.arrive();
    EXPECT_EQ(harness.running.size(), 1U);
}

// Guards against a leaving that dies with the process of the server's node, which then takes the
// server for ready by its reports.
TEST(RoutedTarget, LearnsThatTheServerLeavesFromTheFirstSenderThatKnowsIt)
{
    target_harness harness;
    harness.arriveWith({ hashOf(harness.server.start), { std::nullopt, true }, 99, 1, milliseconds(700) });
    EXPECT_TRUE(harness.running.empty());
    EXPECT_EQ(harness.answers.back().outcome.reason, verdict_reason::Draining);
}

// Guards against senders that wait at a server whose rate limit is used up while others are free.
TEST(RoutedTarget, RefusesCallsThatCanRunElsewhereWhileTheRateLimitIsUsedUp)
{
    target_harness harness;
    harness.announce(10, false);
    harness.arrive(0, 0, true);
    EXPECT_EQ(harness.answers.back().outcome.reason, verdict_reason::NoFreeSlot);
    EXPECT_GT(harness.answers.back().outcome.retryAfter.count(), 0);
    EXPECT_GE(harness.answers.back().inFlight, harness.answers.back().limit);
    ASSERT_TRUE(harness.answers.back().notice);
    EXPECT_EQ(harness.answers.back().notice->notice.rateLimit, 10);
}

}
