#include "decision/call_progress.h"
#include "decision/ticket_ledger.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace vanillashunt {

namespace {

    using time_point = std::chrono::steady_clock::time_point;

    // An attempt that the caller's node considers lost, but that may still arrive.
    struct delayed_attempt {
        ticket permit;
        std::size_t home;
    };

    struct home_node {
        std::uint64_t incarnation;
        ticket_ledger ledger;
    };

    // Runs one non-idempotent request through a random schedule of losses, delays, refusals,
    // restarts and repeats at other nodes.
    class schedule {
    public:
        schedule(std::uint64_t seed, ticket_ledger_rules rules, bool homesLeave)
            : m_random(seed)
            , m_rules(rules)
            , m_homesLeave(homesLeave)
        {
            for (int i = 0; i < 3; ++i) {
                m_homes.push_back(newHome());
            }
        }

        // Returns the first violation; empty if there is none.
        std::string execute()
        {
            std::optional<ticket> callerPermit;
            bool mayHaveRun = false;
            if (m_homesLeave) {
                callerPermit = m_claimed = mintFor(m_random() % m_homes.size());
            }
            for (int tries = 0; tries < 6 && m_violation.empty(); ++tries) {
                call_progress progress(false, 2, mayHaveRun);
                if (callerPermit) {
                    progress.setPermit(*callerPermit, permit_origin::Received);
                }
                auto reported = runTry(progress);
                if (reported == execution::Ran) {
                    break;
                }
                if (reported == execution::NotRun) {
                    check(m_runs == 0, "told not run after it ran");
                    m_runsWhenToldNotRun = m_runs;
                }
                mayHaveRun = reported == execution::MayHaveRun;
                // A repeat that carries only its idempotency key gets the ticket that its claim names.
                callerPermit = m_homesLeave && chance(0.5) ? m_claimed : progress.permit();
                // Delayed attempts may arrive before the caller repeats the request.
                deliverSome(reported == execution::NotRun);
            }
            deliverSome(false);
            check(m_runs <= 1, "ran twice");
            return m_violation;
        }

    private:
        home_node newHome()
        {
            auto incarnation = m_random();
            return { incarnation, ticket_ledger(incarnation, m_now, m_rules) };
        }

        ticket mintFor(std::size_t home)
        {
            member entry;
            entry.id = m_homes[home].incarnation;
            entry.uptimeReceived = time_point();
            return mintTicket(entry, m_random(), m_now);
        }

        bool chance(double probability) { return std::bernoulli_distribution(probability)(m_random); }

        void check(bool holds, const std::string& violation)
        {
            if (!holds && m_violation.empty()) {
                m_violation = violation;
            }
        }

        execution runTry(call_progress& progress)
        {
            if (progress.mustNotRun()) {
                return execution::MayHaveRun;
            }
            while (true) {
                m_now += std::chrono::milliseconds(10);
                auto home = targetOf(progress);
                if (home == m_homes.size()) {
                    return progress.overall(execution::MayHaveRun);
                }
                if (progress.needsPermit()) {
                    progress.setPermit(mintFor(home), permit_origin::Minted);
                }
                progress.begin(m_homes[home].incarnation);
                auto result = send(*progress.permit(), home);
                progress.finished(result);
                if (!progress.mayRetry(m_now + std::chrono::hours(1), m_now)) {
                    return progress.overall(result.outcome.run);
                }
                progress.retry();
            }
        }

        // The home of the ticket, by a view of the members that may be outdated.
        std::size_t targetOf(const call_progress& progress)
        {
            if (!progress.permit()) {
                return m_random() % m_homes.size();
            }
            for (std::size_t i = 0; i < m_homes.size(); ++i) {
                if (m_homes[i].incarnation == progress.permit()->home) {
                    return i;
                }
            }
            // A restarted home may still be called under its old incarnation.
            return chance(0.5) ? m_random() % m_homes.size() : m_homes.size();
        }

        attempt_result send(const ticket& permit, std::size_t home)
        {
            if (chance(0.1)) {
                return { verdict::notRun(verdict_reason::PeerUnreachable), 0, 0, false };
            }
            if (chance(0.3)) {
                m_delayed.push_back({ permit, home });
                restartSometimes();
                return { verdict::mayHaveRun(verdict_reason::AnswerLost), 0, 0, false };
            }
            auto result = arrive(permit, home);
            if (chance(0.3)) {
                return { verdict::mayHaveRun(verdict_reason::AnswerLost), 0, 0, false };
            }
            return result;
        }

        void restartSometimes()
        {
            if (chance(0.1)) {
                m_homes[m_random() % m_homes.size()] = newHome();
            }
        }

        attempt_result arrive(const ticket& permit, std::size_t home)
        {
            auto& ledger = m_homes[home].ledger;
            switch (ledger.begin(permit, m_now)) {
            case ticket_state::Run:
                break;
            case ticket_state::Ran:
                return { verdict::answered(), 1, 0, false };
            case ticket_state::Superseded:
                return { verdict::notRun(verdict_reason::TicketNeeded), 1, ledger.nextUse(permit.nonce), false };
            case ticket_state::HandedOver:
                if (!m_rules.oneSuccessor) {
                    ledger.handOver(permit.nonce, mintFor(otherThan(home)));
                }
                return { verdict::mayHaveRun(verdict_reason::TicketNeeded), 1, 0, false, *ledger.successor(permit.nonce) };
            default:
                return { verdict::mayHaveRun(verdict_reason::TicketUnknown), 1, 0, false };
            }
            if (chance(0.4)) {
                ledger.refused(permit.nonce);
                if (m_homesLeave && chance(0.7)) {
                    ledger.handOver(permit.nonce, mintFor(otherThan(home)));
                    return { verdict::notRun(verdict_reason::Draining), 1, 0, false, *ledger.successor(permit.nonce) };
                }
                return { verdict::notRun(verdict_reason::Draining), 1, ledger.nextUse(permit.nonce), false };
            }
            ++m_runs;
            ledger.ran(permit.nonce);
            return { verdict::answered(), 1, 0, false };
        }

        std::size_t otherThan(std::size_t home) { return (home + 1 + m_random() % (m_homes.size() - 1)) % m_homes.size(); }

        void deliverSome(bool toldNotRun)
        {
            std::shuffle(m_delayed.begin(), m_delayed.end(), m_random);
            auto count = m_delayed.empty() ? 0 : m_random() % (m_delayed.size() + 1);
            for (std::size_t i = 0; i < count; ++i) {
                arrive(m_delayed.back().permit, m_delayed.back().home);
                m_delayed.pop_back();
            }
            check(!toldNotRun || m_runs == m_runsWhenToldNotRun, "ran after its caller was told that it was not run");
        }

        std::mt19937_64 m_random;
        ticket_ledger_rules m_rules;
        // Homes hand over the tickets of refused calls, and callers repeat with their idempotency keys.
        bool m_homesLeave;
        std::optional<ticket> m_claimed;
        time_point m_now;
        std::vector<home_node> m_homes;
        std::vector<delayed_attempt> m_delayed;
        int m_runs = 0;
        int m_runsWhenToldNotRun = 0;
        std::string m_violation;
    };

    constexpr std::uint64_t scheduleCount = 20000;

    // The first violation in any of the schedules; empty if there is none.
    std::string firstViolation(ticket_ledger_rules rules, bool homesLeave = false)
    {
        for (std::uint64_t seed = 1; seed <= scheduleCount; ++seed) {
            auto violation = schedule(seed, rules, homesLeave).execute();
            if (!violation.empty()) {
                return violation + " (seed " + std::to_string(seed) + ")";
            }
        }
        return {};
    }

}

TEST(AtMostOnce, HoldsUnderLossDelayRestartAndRepeats)
{
    EXPECT_EQ(firstViolation({}), "");
}

TEST(AtMostOnce, BreaksIfARefusalDoesNotEndTheUse)
{
    ticket_ledger_rules rules;
    rules.refusalEndsUse = false;
    EXPECT_NE(firstViolation(rules), "");
}

TEST(AtMostOnce, BreaksIfAForeignTicketRuns)
{
    ticket_ledger_rules rules;
    rules.foreignNeverRuns = false;
    EXPECT_NE(firstViolation(rules), "");
}

TEST(AtMostOnce, BreaksIfRunsAreForgotten)
{
    ticket_ledger_rules rules;
    rules.remembersRuns = false;
    EXPECT_NE(firstViolation(rules), "");
}

TEST(AtMostOnce, HoldsWhileHomesLeaveAndHandOver)
{
    EXPECT_EQ(firstViolation({}, true), "");
}

TEST(AtMostOnce, BreaksIfATicketHasTwoSuccessors)
{
    ticket_ledger_rules rules;
    rules.oneSuccessor = false;
    EXPECT_NE(firstViolation(rules, true), "");
}

TEST(AtMostOnce, ATicketThatWasHandedOverNeverRunsAtItsHome)
{
    time_point start;
    ticket_ledger ledger(7, start);
    ticket permit { 7, std::chrono::milliseconds(100), 1, 0, false };
    ticket successor { 8, std::chrono::milliseconds(100), 2, 0, false };
    EXPECT_EQ(ledger.begin(permit, start), ticket_state::Run);
    ledger.refused(1);
    ledger.handOver(1, successor);
    permit.use = ledger.nextUse(1);
    EXPECT_EQ(ledger.begin(permit, start), ticket_state::HandedOver);
    ASSERT_NE(ledger.successor(1), nullptr);
    EXPECT_EQ(*ledger.successor(1), successor);
    EXPECT_EQ(ledger.forgetExpired(start + std::chrono::milliseconds(100)).size(), 1U);
    EXPECT_EQ(ledger.successor(1), nullptr);
}

TEST(AtMostOnce, AnExpiredTicketIsNeitherRunNorReportedAsNotRun)
{
    time_point start;
    ticket_ledger ledger(7, start);
    ticket permit { 7, std::chrono::milliseconds(100), 1, 0, false };
    EXPECT_EQ(ledger.begin(permit, start + std::chrono::milliseconds(100)), ticket_state::Expired);
}

TEST(AtMostOnce, OnlyTicketsThatAreNotRunningAreForgottenOnceExpired)
{
    time_point start;
    ticket_ledger ledger(7, start);
    ticket permit { 7, std::chrono::milliseconds(100), 1, 0, false };
    EXPECT_EQ(ledger.begin(permit, start), ticket_state::Run);
    EXPECT_TRUE(ledger.forgetExpired(start + std::chrono::milliseconds(100)).empty());
    ledger.ran(1);
    EXPECT_EQ(ledger.begin(permit, start), ticket_state::Ran);
    EXPECT_EQ(ledger.forgetExpired(start + std::chrono::milliseconds(100)).size(), 1U);
    EXPECT_EQ(ledger.size(), 0U);
}

}
