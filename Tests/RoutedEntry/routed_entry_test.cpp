#include "node/routed_entry.h"

#include <gtest/gtest.h>

#include <set>

namespace vanillashunt {

namespace {

    using time_point = routed_entry::time_point;
    using std::chrono::milliseconds;

    struct sent_attempt {
        std::uint64_t id;
        member target;
        call_request request;
    };

    // One entry, four servers, and everything that it sent and answered.
    // What the log is told of the end of a request.
    struct finished_request {
        shedding_position position = 0;
        verdict outcome;
        decision_inputs inputs;
    };

    class entry_world {
    public:
        explicit entry_world(bool idempotent = true, double slack = 48)
            : m_entry(settings(slack), hooks(), {})
        {
            configuration->version = 7;
            route each;
            each.name = "notice-read";
            each.host = "a.example";
            each.prefix = "/x/";
            each.destinations = { { "notices", 1 } };
            each.idempotent = idempotent;
            each.timeout = milliseconds(800);
            each.maxAttempts = 2;
            each.priority = 2;
            configuration->routes = { each };
            auto members = std::make_shared<std::vector<member>>();
            for (std::uint64_t id = 1; id <= 4; ++id) {
                member server;
                server.id = id;
                server.availabilityZone = "a";
                server.service = "notices";
                server.slots = 10;
                members->push_back(server);
            }
            m_entry.setMembers(members, now);
        }

        void configure() { m_entry.setConfiguration(configuration); }

        std::uint64_t arrive(const std::string& path = "/x/1")
        {
            entry_request request;
            request.requestId = "r" + std::to_string(++m_requests);
            request.message = { "GET", path, { { "Host", "a.example" } }, "" };
            request.deadline = now + milliseconds(5000);
            return m_entry.arrive(
                std::move(request), [this](entry_answer answer) { answers.push_back(std::move(answer)); }, now);
        }

        // The target whose turn it is says that calls fill its limit.
        void answerFull(const verdict& outcome, std::uint32_t status = 0)
        {
            call_answer result;
            result.outcome = outcome;
            result.status = status;
            result.inFlight = 10;
            result.limit = 10;
            m_entry.attemptAnswered(sent.back().id, result, now);
        }

        void answer(const verdict& outcome, std::uint32_t status = 0, shedding_position cut = 0)
        {
            call_answer result;
            result.outcome = outcome;
            result.status = status;
            result.cut = cut;
            result.limit = 10;
            m_entry.attemptAnswered(sent.back().id, result, now);
        }

        routed_entry& entry() { return m_entry; }

        time_point now { std::chrono::seconds(100) };
        std::shared_ptr<route_configuration> configuration = std::make_shared<route_configuration>();
        std::vector<sent_attempt> sent;
        std::vector<std::uint64_t> cancelled;
        std::function<void()> whenCancelled;
        std::vector<entry_answer> answers;
        std::vector<shedding_position> onwardCuts;
        std::vector<finished_request> finished;
        // Who makes the calls that arrive.
        std::optional<parent_run> parent;
        // What servers have ended under.
        std::vector<request_fingerprint> poison;
        poison_status standing = poison_status::Poison;

    private:
        static entry_settings settings(double slack)
        {
            entry_settings result;
            result.place = { "a", "" };
            result.ownService = "threads";
            result.retries = { 0.2, slack, milliseconds(10000) };
            return result;
        }

        entry_hooks hooks()
        {
            entry_hooks result;
            result.send = [this](std::uint64_t id, const member& target, const call_request& request) { sent.push_back({ id, target, request }); };
            result.cancelAttempt = [this](std::uint64_t id) {
                cancelled.push_back(id);
                if (whenCancelled) {
                    whenCancelled();
                }
            };
            result.ended = [](std::uint64_t, bool) {};
            result.observed = [this](const call_observation& seen) {
                if (seen.decision == call_decision::Finished) {
                    finished.push_back({ seen.context.position, seen.outcome, seen.inputs });
                }
            };
            result.standingOf = [this](request_fingerprint content) {
                return std::count(poison.begin(), poison.end(), content) != 0 ? standing : poison_status::Harmless;
            };
            result.findParent = [this](const entry_request&) { return parent; };
            result.onwardEnded = [this](std::uint64_t, const onward_report& report) { onwardCuts.push_back(report.cut); };
            result.random = [this] { return m_random += 0x9e3779b97f4a7c15U; };
            return result;
        }

        std::uint64_t m_random = 1;
        int m_requests = 0;
        routed_entry m_entry;
    };

}

TEST(RoutedEntry, KnowsNoRouteBeforeItKnowsAConfiguration)
{
    entry_world world;
    world.arrive();
    ASSERT_EQ(world.answers.size(), 1U);
    EXPECT_EQ(world.answers.back().refusalStatus, 503U);
    EXPECT_GT(world.answers.back().outcome.retryAfter.count(), 0);
    world.configure();
    world.arrive("/y/1");
    EXPECT_EQ(world.answers.back().refusalStatus, 404U);
    EXPECT_TRUE(world.sent.empty());
}

// Runs at the own server need their onward calls to finish, so these are accepted during a stop.
TEST(RoutedEntry, TakesOnlyCallsOfItsOwnServerWhileItStops)
{
    entry_world world;
    world.configure();
    world.entry().setIntake(call_intake::OnwardCalls);
    world.arrive();
    ASSERT_EQ(world.answers.size(), 1U);
    EXPECT_EQ(world.answers.back().refusalStatus, 503U);
    EXPECT_EQ(world.answers.back().outcome.run, execution::NotRun);
    EXPECT_GT(world.answers.back().outcome.retryAfter.count(), 0);
    world.parent = parent_run { 3, {} };
    world.arrive();
    EXPECT_EQ(world.sent.size(), 1U);
}

// Guards against reporting a request as not run when it was already sent to a server.
TEST(RoutedEntry, AnswersEveryRequestAtTheEndOfItsStop)
{
    entry_world world;
    world.configure();
    world.arrive();
    world.arrive();
    world.entry().endAll(world.now);
    ASSERT_EQ(world.answers.size(), 2U);
    for (const auto& answer : world.answers) {
        EXPECT_EQ(answer.refusalStatus, 502U);
        EXPECT_EQ(answer.outcome.run, execution::MayHaveRun);
    }
    EXPECT_EQ(world.cancelled.size(), 2U);
    world.parent = parent_run { 3, {} };
    world.arrive();
    EXPECT_EQ(world.answers.back().refusalStatus, 503U);
    EXPECT_EQ(world.sent.size(), 2U);
}

TEST(RoutedEntry, NeverGoesBackToAnOlderVersion)
{
    entry_world world;
    world.configure();
    auto older = std::make_shared<route_configuration>();
    older->version = 6;
    world.entry().setConfiguration(older);
    EXPECT_EQ(world.entry().version(), 7);
    world.arrive();
    EXPECT_EQ(world.sent.size(), 1U);
}

TEST(RoutedEntry, TellsTheServiceBesideWhichTheRequestBegan)
{
    entry_world world;
    world.configure();
    world.arrive();
    EXPECT_EQ(world.sent.back().request.callerService, "threads");
}

// A refusal that reached no server costs nothing, and goes to another one at once.
TEST(RoutedEntry, AsksAnotherNodeWhereOneRefuses)
{
    entry_world world(false, 0);
    world.configure();
    world.arrive();
    world.answer(verdict::notRun(verdict_reason::Overload, milliseconds(300)));
    ASSERT_EQ(world.sent.size(), 2U);
    EXPECT_NE(world.sent[0].target.id, world.sent[1].target.id);
    world.answer(verdict::notRun(verdict_reason::Overload, milliseconds(300)));
    world.answer(verdict::notRun(verdict_reason::Overload, milliseconds(300)));
    ASSERT_EQ(world.answers.size(), 1U);
    EXPECT_EQ(world.answers.back().refusalStatus, 503U);
    EXPECT_EQ(world.answers.back().outcome.retryAfter, milliseconds(300));
}

TEST(RoutedEntry, NeverRepeatsWhatMayHaveRunAndMayNotRunTwice)
{
    entry_world world(false);
    world.configure();
    world.arrive();
    world.answer(verdict::mayHaveRun(verdict_reason::AnswerLost));
    EXPECT_EQ(world.sent.size(), 1U);
    ASSERT_EQ(world.answers.size(), 1U);
    EXPECT_EQ(world.answers.back().refusalStatus, 502U);
    EXPECT_EQ(world.answers.back().outcome.run, execution::MayHaveRun);
}

TEST(RoutedEntry, RepeatsAnIdempotentRequestWithinAttemptsAndAllowance)
{
    entry_world world;
    world.configure();
    world.arrive();
    world.answer(verdict::mayHaveRun(verdict_reason::AnswerLost));
    EXPECT_EQ(world.sent.size(), 2U);
    world.answer(verdict::mayHaveRun(verdict_reason::AnswerLost));
    EXPECT_EQ(world.sent.size(), 2U);
    EXPECT_EQ(world.answers.back().refusalStatus, 502U);
    entry_world without(true, 0);
    without.configure();
    without.arrive();
    without.answer(verdict::mayHaveRun(verdict_reason::AnswerLost));
    EXPECT_EQ(without.sent.size(), 1U);
}

TEST(RoutedEntry, HandsOnTheServersOwnFailure)
{
    entry_world world(true, 0);
    world.configure();
    world.arrive();
    world.answer(verdict::answered(), 500);
    ASSERT_EQ(world.answers.size(), 1U);
    EXPECT_EQ(world.answers.back().outcome.run, execution::Ran);
    EXPECT_EQ(world.answers.back().answer.status, 500U);
}

TEST(RoutedEntry, AnswersWhenTheRoutesTimeIsOver)
{
    entry_world world;
    world.configure();
    world.arrive();
    world.now += milliseconds(799);
    world.entry().tick(world.now);
    EXPECT_TRUE(world.answers.empty());
    world.now += milliseconds(1);
    world.entry().tick(world.now);
    ASSERT_EQ(world.answers.size(), 1U);
    EXPECT_EQ(world.answers.back().refusalStatus, 504U);
    EXPECT_EQ(world.cancelled.size(), 1U);
}

// A server's silence is no reason to end an answer sooner: ending the calls of a
// silent target broke off requests at which their servers were at work, on 8 of 14 days.
TEST(RoutedEntry, WaitsForASilentTargetUntilTheTimeIsOver)
{
    entry_world world;
    world.configure();
    world.arrive();
    world.answer(verdict::answered(), 200);
    world.arrive();
    for (int i = 0; i < 70; ++i) {
        world.now += milliseconds(10);
        world.entry().tick(world.now);
    }
    EXPECT_TRUE(world.cancelled.empty());
}

TEST(RoutedEntry, CancelsWhatItsSenderHasLeft)
{
    entry_world world;
    world.configure();
    auto id = world.arrive();
    world.entry().cancel(id, world.now);
    EXPECT_EQ(world.cancelled.size(), 1U);
    EXPECT_TRUE(world.answers.empty());
    EXPECT_EQ(world.entry().inProgress(), 0U);
}

// The load: the deepest service carries half of what enters. Its refusals in the middle
// cost whole requests that had used three services (served 0.378 of a day, and 0.599
// with the entrance refusing for it).
TEST(RoutedEntry, RefusesAtTheEntranceForTheServiceFurtherDown)
{
    entry_world world;
    world.configure();
    world.arrive();
    world.answer(verdict::answered(), 200, positionsPerImportance);
    auto before = world.sent.size();
    int refused = 0;
    for (int i = 0; i < 20; ++i) {
        world.arrive();
        refused += world.sent.size() == before ? 1 : 0;
        before = world.sent.size();
    }
    EXPECT_GE(refused, 17);
    EXPECT_EQ(world.answers.back().refusalStatus, 503U);
}

TEST(RoutedEntry, LetsACallOfTheOwnServerInheritItsRequestsPlace)
{
    entry_world world;
    world.configure();
    world.parent = parent_run { 5, {} };
    world.parent->context.level = importance::Confirmed;
    world.parent->context.position = sheddingPositionCount - 1;
    world.arrive();
    ASSERT_EQ(world.sent.size(), 1U);
    EXPECT_EQ(world.sent.back().request.context.position, sheddingPositionCount - 1);
    EXPECT_EQ(world.sent.back().request.context.depth, 1U);
    world.answer(verdict::answered(), 200, 1234);
    EXPECT_EQ(world.onwardCuts, std::vector<shedding_position> { 1234 });
}

// The load: after a power cut most requests are refused at the entrance and come back,
// while those that run fail and are repeated, with all their calls. The refused ones
// gave the repeats an allowance that the services further down never saw requests for:
// 324 repeats where 303 were allowed.
TEST(RoutedEntry, GetsNoAllowanceFromRequestsThatReachedNoServer)
{
    entry_world world(true, 0);
    world.configure();
    for (int i = 0; i < 400; ++i) {
        world.arrive();
        while (world.answers.size() <= static_cast<std::size_t>(i)) {
            world.answer(verdict::notRun(verdict_reason::Overload));
        }
    }
    world.arrive();
    auto before = world.sent.size();
    world.answer(verdict::mayHaveRun(verdict_reason::AnswerLost));
    EXPECT_EQ(world.sent.size(), before);
}

// Seen in the hire site's incident: a server's own 500 came at 694 of 800 ms, three
// nodes refused the repeat as too late, and the client got a 502 in the 500's place.
TEST(RoutedEntry, HandsOnTheServersFailureWhereARepeatBringsNothing)
{
    entry_world world;
    world.configure();
    world.arrive();
    world.answer(verdict::answered(), 500);
    ASSERT_EQ(world.sent.size(), 2U);
    for (int i = 0; i < 3 && world.answers.empty(); ++i) {
        world.answer(verdict::notRun(verdict_reason::DeadlineTooShort));
    }
    ASSERT_EQ(world.answers.size(), 1U);
    EXPECT_EQ(world.answers.back().outcome.run, execution::Ran);
    EXPECT_EQ(world.answers.back().answer.status, 500U);
}

TEST(RoutedEntry, RepeatsNoFailureThatTookLongerThanWhatIsLeft)
{
    entry_world world;
    world.configure();
    world.arrive();
    world.now += milliseconds(500);
    world.answer(verdict::answered(), 500);
    EXPECT_EQ(world.sent.size(), 1U);
    ASSERT_EQ(world.answers.size(), 1U);
    EXPECT_EQ(world.answers.back().answer.status, 500U);
}

// At the own server's gate the end of one call gives up the next, so that a call may be
// answered while another one's time is found to be over. The process ended by that.
TEST(RoutedEntry, BearsThatTheEndOfOneLateCallAnswersAnother)
{
    entry_world world;
    world.configure();
    world.arrive();
    world.arrive();
    world.whenCancelled = [&world] {
        call_answer refusal;
        refusal.outcome = verdict::notRun(verdict_reason::DeadlinePassed);
        auto other = world.cancelled.back() == world.sent[0].id ? world.sent[1].id : world.sent[0].id;
        world.entry().attemptAnswered(other, refusal, world.now);
    };
    world.now += milliseconds(800);
    world.entry().tick(world.now);
    EXPECT_EQ(world.answers.size(), 2U);
    EXPECT_EQ(world.entry().inProgress(), 0U);
}

TEST(RoutedEntry, TellsWhatARefusalRestedOnAndHowOldItWas)
{
    entry_world world;
    world.configure();
    world.arrive();
    world.answer(verdict::answered(), 200, sheddingPositionCount);
    world.now += milliseconds(120);
    for (std::size_t asked = 2; asked < 64 && world.finished.back().outcome.run == execution::Ran; ++asked) {
        world.arrive();
        if (world.answers.size() < asked) {
            // Let through to learn whether the cut has opened.
            world.answer(verdict::answered(), 200, sheddingPositionCount);
        }
    }
    const auto& refused = world.finished.back();
    EXPECT_EQ(refused.outcome.reason, verdict_reason::Overload);
    EXPECT_EQ(refused.inputs.version, 7);
    EXPECT_EQ(refused.inputs.cut, sheddingPositionCount);
    EXPECT_GE(refused.inputs.cutAge, milliseconds(0));
    EXPECT_LE(refused.inputs.cutAge, milliseconds(120));
    EXPECT_LT(refused.position, refused.inputs.cut);
}

TEST(RoutedEntry, AsksThreeTargetsForAFreeSlotAndWaitsAtTheFourth)
{
    entry_world world(false, 0);
    world.configure();
    world.arrive();
    for (int asked = 1; asked <= 3; ++asked) {
        EXPECT_TRUE(world.sent.back().request.refuseIfFull);
        EXPECT_EQ(world.sent.back().request.attempt, static_cast<std::uint32_t>(asked));
        world.answerFull(verdict::notRun(verdict_reason::NoFreeSlot));
    }
    ASSERT_EQ(world.sent.size(), 4U);
    EXPECT_FALSE(world.sent.back().request.refuseIfFull);
    world.answer(verdict::answered(), 200);
    ASSERT_EQ(world.answers.size(), 1U);
    EXPECT_EQ(world.answers.back().outcome.run, execution::Ran);
}

// A call is not lost where all that are left have been asked: it waits at one of them.
TEST(RoutedEntry, ReturnsToAFullTargetWhereNoOtherIsLeft)
{
    entry_world world;
    world.configure();
    auto few = std::make_shared<std::vector<member>>();
    member only;
    only.id = 1;
    only.availabilityZone = "a";
    only.service = "notices";
    only.slots = 10;
    few->push_back(only);
    world.entry().setMembers(few, world.now);
    world.arrive();
    world.answerFull(verdict::notRun(verdict_reason::NoFreeSlot));
    ASSERT_EQ(world.sent.size(), 2U);
    EXPECT_EQ(world.sent.back().target.id, 1U);
    EXPECT_FALSE(world.sent.back().request.refuseIfFull);
    EXPECT_TRUE(world.answers.empty());
}

TEST(RoutedEntry, AsksForNoFreeSlotWhereMostTargetsAreFull)
{
    entry_world world;
    world.configure();
    for (int i = 0; i < 60; ++i) {
        world.arrive();
        world.answerFull(verdict::answered(), 200);
    }
    world.arrive();
    EXPECT_FALSE(world.sent.back().request.refuseIfFull);
    // What was seen some seconds ago says little of now.
    world.now += std::chrono::seconds(3);
    world.arrive();
    EXPECT_TRUE(world.sent.back().request.refuseIfFull);
}

// A target that was only asked has not been reached: it takes nothing of the allowance.
TEST(RoutedEntry, RepeatsAfterAskingAsOftenAsWithout)
{
    entry_world world;
    world.configure();
    for (int i = 0; i < 40; ++i) {
        world.arrive();
        world.answer(verdict::answered(), 200);
    }
    auto before = world.sent.size();
    world.arrive();
    world.answerFull(verdict::notRun(verdict_reason::NoFreeSlot));
    world.answer(verdict::notRun(verdict_reason::BackendRefused));
    EXPECT_EQ(world.sent.size(), before + 3);
    world.answer(verdict::notRun(verdict_reason::BackendRefused));
    EXPECT_EQ(world.answers.back().outcome.run, execution::NotRun);
    EXPECT_EQ(world.sent.size(), before + 3);
}

TEST(RoutedEntry, SendsNothingUnderWhichServersHaveEnded)
{
    entry_world world;
    world.configure();
    world.poison = { fingerprintOf("/x/1", "") };
    world.arrive("/x/1");
    EXPECT_TRUE(world.sent.empty());
    ASSERT_EQ(world.answers.size(), 1U);
    EXPECT_EQ(world.answers.back().refusalStatus, 503U);
    EXPECT_EQ(world.answers.back().outcome.reason, verdict_reason::Poison);
    EXPECT_EQ(world.answers.back().outcome.retryAfter, poisonRetention);
    world.arrive("/x/2");
    EXPECT_EQ(world.sent.size(), 1U);
}

// What becomes known while a request is under way ends it: no further target gets it, and
// its sender is not told that it has not run if it may have.
TEST(RoutedEntry, SendsNoFurtherWhatHasBecomeKnownAsPoison)
{
    entry_world world;
    world.configure();
    world.arrive();
    world.poison = { fingerprintOf("/x/1", "") };
    world.answer(verdict::mayHaveRun(verdict_reason::AnswerLost));
    EXPECT_EQ(world.sent.size(), 1U);
    EXPECT_EQ(world.answers.back().refusalStatus, 502U);
    world.poison.clear();
    world.arrive();
    world.answer(verdict::notRun(verdict_reason::Poison, poisonRetention));
    EXPECT_EQ(world.sent.size(), 2U);
    EXPECT_EQ(world.answers.back().refusalStatus, 503U);
}

// Copies come in everywhere before the news of an end does.
TEST(RoutedEntry, SendsWhatIsOneEndShortOfPoisonToOneServerOnly)
{
    std::set<std::uint64_t> targets;
    std::set<std::uint64_t> usualTargets;
    entry_world world;
    world.configure();
    world.standing = poison_status::NearlyPoison;
    world.poison = { fingerprintOf("/x/1", "") };
    constexpr int copies = 40;
    for (int copy = 0; copy < copies; ++copy) {
        world.arrive("/x/1");
        targets.insert(world.sent.back().target.id);
        world.arrive("/x/2");
        usualTargets.insert(world.sent.back().target.id);
    }
    EXPECT_EQ(targets.size(), 1U);
    EXPECT_GT(usualTargets.size(), 1U);
    // Another content has a server of its own, and no other takes its place.
    std::set<std::uint64_t> agreed;
    for (int path = 0; path < copies; ++path) {
        auto target = "/x/" + std::to_string(path);
        world.poison = { fingerprintOf(target, "") };
        world.arrive(target);
        agreed.insert(world.sent.back().target.id);
        auto before = world.sent.size();
        world.answer(verdict::notRun(verdict_reason::PeerUnreachable));
        EXPECT_EQ(world.sent.size(), before);
        EXPECT_EQ(world.answers.back().refusalStatus, 503U);
    }
    EXPECT_EQ(agreed.size(), 4U);
}

}
