#include "AdmissionHolds/gate_run.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>

namespace vanillashunt {

namespace {

    // The same verdict every time; another seed can be set from outside.
    const int seeded = setenv("RC_PARAMS", "seed=20261202", 0);

    constexpr shedding_position confirmedBase = 2 * positionsPerImportance;
    constexpr std::chrono::milliseconds guardTime { 100 };
    constexpr int twinSeeds = 20;

    bool shedForLoad(const call_record& call)
    {
        auto byTime = [](auto reason) { return reason == verdict_reason::Overload || reason == verdict_reason::OverShare || reason == verdict_reason::DeadlinePassed; };
        return std::any_of(call.refusals.begin(), call.refusals.end(), byTime);
    }

    // Confirmed calls that were refused for load within the guard time of a lesser one's start.
    int orderViolations(const std::vector<call_record>& calls)
    {
        std::vector<test_time> lesserStarts;
        for (const auto& call : calls) {
            if (call.position < confirmedBase && !call.runs.empty()) {
                lesserStarts.push_back(call.runs.front());
            }
        }
        std::sort(lesserStarts.begin(), lesserStarts.end());
        int violations = 0;
        for (const auto& call : calls) {
            if (call.position < confirmedBase || !shedForLoad(call)) {
                continue;
            }
            auto near = std::upper_bound(lesserStarts.begin(), lesserStarts.end(), call.ended - guardTime);
            violations += near != lesserStarts.end() && *near < call.ended + guardTime ? 1 : 0;
        }
        return violations;
    }

    int withoutOneOutcome(const std::vector<call_record>& calls)
    {
        return static_cast<int>(std::count_if(calls.begin(), calls.end(), [](const auto& call) { return call.runs.size() + call.refusals.size() != 1; }));
    }

    // Calls refused later than the given time after the last phase began.
    int refusedAfter(const std::vector<call_record>& calls, test_time from)
    {
        return static_cast<int>(std::count_if(calls.begin(), calls.end(), [from](const auto& call) { return call.arrived >= from && !call.refusals.empty(); }));
    }

    load_phase drawnPhase()
    {
        load_phase phase;
        phase.length = std::chrono::milliseconds(*rc::gen::inRange(50, 700));
        phase.load = *rc::gen::inRange(1, 80) / 10.0;
        phase.confirmed = *rc::gen::inRange(0, 11) / 10.0;
        phase.interactive = (1 - phase.confirmed) * *rc::gen::inRange(0, 11) / 10.0;
        phase.big = *rc::gen::inRange(0, 11) / 10.0;
        return phase;
    }

    // Random phases of load with the rules as given.
    gate_run drawnRun(admission_rules rules = {})
    {
        return gate_run({ admission_policy::Full, rules, {} }, *rc::gen::arbitrary<std::uint32_t>());
    }

    void runDrawnPhases(gate_run& run)
    {
        auto phases = *rc::gen::inRange(1, 6);
        for (int phase = 0; phase < phases; ++phase) {
            run.run(drawnPhase());
        }
        run.settle();
    }

    // Phases in which confirmed work alone is too much after a time with lesser work.
    void runSurges(gate_run& run)
    {
        for (int round = 0; round < 3; ++round) {
            run.run({ std::chrono::milliseconds(300), 0.9, 0.1, 0.3, 0.9 });
            run.run({ std::chrono::milliseconds(300), 4, 0.8, 0.1, 0.9 });
        }
        run.settle();
    }

    // Runs with one rule switched off, over some seeds, until the breach shows.
    template <typename Breach>
    bool breachSeen(admission_rules rules, Breach breach)
    {
        for (std::uint32_t seed = 1; seed <= twinSeeds; ++seed) {
            gate_run run({ admission_policy::Full, rules, {} }, seed);
            runSurges(run);
            if (breach(run)) {
                std::cout << "the breach shows with seed " << seed << "\n";
                return true;
            }
        }
        return false;
    }

    void runSurgeAndCalm(gate_run& run)
    {
        run.run({ std::chrono::seconds(1), 5, 0.2, 0.3, 0.5 });
        run.run({ std::chrono::seconds(2), 0.5, 0.2, 0.3, 0.5 });
    }

}

RC_GTEST_PROP(AdmissionHolds, ConfirmedRequestsAreShedLast, ())
{
    auto run = drawnRun();
    runDrawnPhases(run);
    RC_ASSERT(orderViolations(run.calls()) == 0);
}

TEST(AdmissionHolds, ShedOrderBreaksWithoutItsRule)
{
    admission_rules rules;
    rules.confirmedLast = false;
    EXPECT_TRUE(breachSeen(rules, [](gate_run& run) { return orderViolations(run.calls()) > 0; }));
}

RC_GTEST_PROP(AdmissionHolds, NeverMoreCallsThanSlots, ())
{
    auto run = drawnRun();
    runDrawnPhases(run);
    RC_ASSERT(run.overSlots() == 0);
}

TEST(AdmissionHolds, SlotsAreExceededWithoutTheirRule)
{
    admission_rules rules;
    rules.boundBySlots = false;
    EXPECT_TRUE(breachSeen(rules, [](gate_run& run) { return run.overSlots() > 0; }));
}

RC_GTEST_PROP(AdmissionHolds, EveryCallHasOneOutcome, ())
{
    auto run = drawnRun();
    runDrawnPhases(run);
    RC_ASSERT(withoutOneOutcome(run.calls()) == 0);
}

TEST(AdmissionHolds, CallsAreLostWithoutTheAnswerToTheEvicted)
{
    admission_rules rules;
    rules.answerEvicted = false;
    EXPECT_TRUE(breachSeen(rules, [](gate_run& run) { return withoutOneOutcome(run.calls()) > 0; }));
}

RC_GTEST_PROP(AdmissionHolds, NoSlotIsFreeWhileACallWaits, ())
{
    auto run = drawnRun();
    runDrawnPhases(run);
    RC_ASSERT(run.idleWhileWaiting() == 0);
}

TEST(AdmissionHolds, SlotsStayFreeWithoutLending)
{
    admission_rules rules;
    rules.lendUnusedShares = false;
    EXPECT_TRUE(breachSeen(rules, [](gate_run& run) { return run.idleWhileWaiting() > 0; }));
}

RC_GTEST_PROP(AdmissionHolds, EverythingIsAdmittedASecondAfterASurge, ())
{
    auto run = drawnRun();
    auto surge = drawnPhase();
    surge.load = *rc::gen::inRange(20, 100) / 10.0;
    run.run(surge);
    auto ended = run.now();
    run.run({ std::chrono::seconds(2), 0.5, 0.2, 0.3, 0.5 });
    RC_ASSERT(refusedAfter(run.calls(), ended + std::chrono::seconds(1)) == 0);
}

TEST(AdmissionHolds, RefusalsOutlastTheSurgeIfTheCutStays)
{
    admission_rules rules;
    rules.cutOpens = false;
    gate_run run({ admission_policy::Full, rules, {} }, 1);
    runSurgeAndCalm(run);
    EXPECT_GT(refusedAfter(run.calls(), run.now() - std::chrono::seconds(1)), 0);
}

TEST(AdmissionHolds, AOrganisationWithinItsShareIsServedBesideAGreedyOne)
{
    gate_run run({}, 7);
    run.run({ std::chrono::seconds(3), 4, 0, 1, 0.9 });
    run.settle();
    int asked = 0;
    int served = 0;
    std::ptrdiff_t overShare = 0;
    for (const auto& call : run.calls()) {
        overShare += std::count(call.refusals.begin(), call.refusals.end(), verdict_reason::OverShare);
        if (call.organisation == "small") {
            ++asked;
            served += static_cast<int>(call.runs.size());
        }
    }
    std::cout << "small customer: " << served << " of " << asked << " served; over share: " << overShare << "\n";
    // Its demand is 0.4 of the capacity, and its share is half.
    EXPECT_GT(served, 0.9 * asked);
    EXPECT_GT(overShare, 0);
}

TEST(AdmissionHolds, TheOtherPoliciesDecideLess)
{
    gate_run none({ admission_policy::None, {}, {} }, 1);
    gate_run hop({ admission_policy::Hop, {}, {} }, 1);
    for (auto* run : { &none, &hop }) {
        run->run({ std::chrono::seconds(1), 3, 0.2, 0.3, 0.5 });
        run->settle();
        EXPECT_EQ(run->gate().cut(), 0);
        EXPECT_EQ(withoutOneOutcome(run->calls()), 0);
    }
    EXPECT_EQ(refusedAfter(none.calls(), {}), 0);
    EXPECT_GT(none.overSlots(), 0);
    EXPECT_GT(refusedAfter(hop.calls(), {}), 0);
    EXPECT_EQ(hop.overSlots(), 0);
    EXPECT_GT(orderViolations(hop.calls()), 0);
}

}
