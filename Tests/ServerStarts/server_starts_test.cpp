#include "backend/server_starts.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace vanillashunt {

namespace {

    using std::chrono::milliseconds;
    using time_point = std::chrono::steady_clock::time_point;

    constexpr milliseconds stepLength { 100 };
    constexpr milliseconds heartbeatPeriod { 1500 };
    constexpr milliseconds maxDelay { 4000 };

    // How starts of the server at one address are named.
    enum class start_names {
        NewId, // Each start has another id, and no start time.
        SameId, // The id stays; each start has its time.
        Either,
    };

    // One start of the server, as it is in truth.
    struct true_start {
        server_start start;
        server_condition condition = server_condition::Ready;
        bool isRunning = true;
        std::uint64_t sequence = 0;
        // Whether a process of the node has acknowledged that it leaves.
        bool isLeavingAcknowledged = false;
    };

    struct health_probe {
        server_start start;
        // Unless it is from the moment in which it is read.
        std::optional<server_health> answer;
    };

    struct report_on_its_way {
        server_report report;
        std::size_t sender = 0;
        time_point arrives;
    };

    // A server that crashes, leaves and starts again, its reports, which are late, lost and repeated, and the
    // node beside it, whose process restarts.
    class starts_world {
    public:
        starts_world(std::uint64_t seed, start_names names, bool healthIsTrue)
            : m_random(seed)
            , m_names(names)
            , m_healthIsTrue(healthIsTrue)
        {
            startServer();
        }

        void step()
        {
            m_now += stepLength;
            if (chance(150)) {
                m_node = server_starts(true, m_now);
                m_probes.clear();
                m_unservedReports = 0;
            }
            moveServer();
            deliver();
            answerProbes();
            sendRequests();
        }

        // Lets everything that is late arrive, and starts a server that stays ready and whose reports arrive at
        // once. Returns whether it receives a request after its first report, a probe of its health and the
        // requests that show which starts have ended.
        bool servesInTheEnd()
        {
            end();
            while (!m_onTheirWay.empty()) {
                m_now += stepLength;
                deliver();
                answerProbes();
            }
            startServer();
            deliverNow(heartbeat());
            answerProbes();
            return sendRequests();
        }

        // The most reports of a ready server that arrived one after the other without it being served.
        std::size_t mostUnservedReports() const { return m_mostUnservedReports; }

        // Requests that ran at a start after a process had acknowledged that it leaves.
        std::size_t lateRuns() const { return m_lateRuns; }
        std::size_t runs() const { return m_runs; }

    private:
        bool chance(unsigned oneIn) { return m_random() % oneIn == 0; }
        true_start& running() { return m_starts.back(); }
        std::chrono::system_clock::time_point wallNow() const { return std::chrono::system_clock::time_point(std::chrono::hours(100)) + m_now.time_since_epoch(); }

        void startServer()
        {
            m_now += stepLength;
            true_start next;
            bool hasBorn = m_names == start_names::SameId || (m_names == start_names::Either && chance(2));
            next.start.instanceId = hasBorn ? "i" : "i-" + std::to_string(m_starts.size());
            if (hasBorn) {
                next.start.born = wallNow();
            }
            m_starts.push_back(next);
            m_nextHeartbeat = m_now;
            m_unservedReports = 0;
            m_newestArrived = 0;
        }

        void end() { running().isRunning = false; }

        void moveServer()
        {
            if (!running().isRunning) {
                if (chance(5)) {
                    startServer();
                }
                return;
            }
            if (running().condition == server_condition::Ready && chance(60)) {
                running().condition = chance(2) ? server_condition::Draining : server_condition::Left;
                if (running().condition == server_condition::Left) {
                    deliverNow(deregistration());
                }
            } else if (chance(running().condition == server_condition::Ready ? 100 : 30)) {
                end();
                return;
            }
            if (m_now >= m_nextHeartbeat && running().condition != server_condition::Left) {
                m_nextHeartbeat = m_now + heartbeatPeriod;
                send(heartbeat());
            }
        }

        server_report heartbeat()
        {
            server_report report;
            report.start = running().start;
            report.condition = running().condition;
            report.service = "desk";
            report.sequence = ++running().sequence;
            return report;
        }

        server_report deregistration()
        {
            server_report report;
            report.start.instanceId = running().start.instanceId;
            report.condition = server_condition::Left;
            return report;
        }

        void send(const server_report& report)
        {
            auto copies = m_random() % 8 == 0 ? 2U : m_random() % 8 == 0 ? 0U
                                                                         : 1U;
            for (auto copy = 0U; copy < copies; ++copy) {
                auto delay = chance(3) ? milliseconds(m_random() % static_cast<std::uint64_t>(maxDelay.count())) : milliseconds(0);
                m_onTheirWay.push_back({ report, m_starts.size() - 1, m_now + delay });
            }
        }

        void deliver()
        {
            auto isDue = [this](const report_on_its_way& each) { return each.arrives <= m_now; };
            auto firstDue = std::stable_partition(m_onTheirWay.begin(), m_onTheirWay.end(), [&](const report_on_its_way& each) { return !isDue(each); });
            std::vector<report_on_its_way> due(firstDue, m_onTheirWay.end());
            m_onTheirWay.erase(firstDue, m_onTheirWay.end());
            for (const auto& each : due) {
                take(each.report, each.sender);
            }
        }

        void deliverNow(const server_report& report) { take(report, m_starts.size() - 1); }

        void take(const server_report& report, std::size_t sender)
        {
            auto outcome = m_node.report(report, wallNow(), m_now);
            if (outcome.needsProbe) {
                // The answer is from now, or from the moment in which it is read.
                m_probes.push_back({ report.start, chance(2) ? std::optional<server_health>(healthOf(report.start)) : std::nullopt });
            }
            bool isRunning = sender + 1 == m_starts.size() && running().isRunning;
            if (isRunning && report.sequence > m_newestArrived && m_now - m_lastCounted >= start_verification::minProbePeriod) {
                m_lastCounted = m_now;
                ++m_unservedReports;
            }
            m_newestArrived = isRunning ? std::max(m_newestArrived, report.sequence) : m_newestArrived;
            bool isAcknowledged = outcome.effect != report_effect::Unclear;
            if (report.condition != server_condition::Ready && isAcknowledged) {
                m_starts[sender].isLeavingAcknowledged = true;
            }
        }

        void answerProbes()
        {
            for (const auto& probe : std::exchange(m_probes, {})) {
                m_node.probed(probe.start, probe.answer ? *probe.answer : healthOf(probe.start));
            }
        }

        server_health healthOf(const server_start& start)
        {
            if (!running().isRunning) {
                return server_health::Unknown;
            }
            if (!m_healthIsTrue && chance(3)) {
                return server_health::NotServing;
            }
            bool serves = running().start.instanceId == start.instanceId && running().condition == server_condition::Ready;
            return serves ? server_health::Serving : server_health::NotServing;
        }

        // Sends requests until one runs. Returns whether one did.
        bool sendRequests()
        {
            constexpr int maxRequests = 20;
            bool isServed = false;
            for (int i = 0; i < maxRequests && !isServed; ++i) {
                isServed = request();
            }
            bool needsWork = running().isRunning && running().condition == server_condition::Ready;
            m_unservedReports = isServed || !needsWork ? 0 : m_unservedReports;
            m_mostUnservedReports = std::max(m_mostUnservedReports, m_unservedReports);
            return isServed;
        }

        // Returns whether the request ran.
        bool request()
        {
            if (!m_node.takesWork()) {
                return false;
            }
            auto start = m_node.current()->start;
            if (!running().isRunning) {
                m_node.ended(start);
                return false;
            }
            if (running().start.instanceId != start.instanceId) {
                m_node.misdirected(start);
                return false;
            }
            ++m_runs;
            m_lateRuns += running().isLeavingAcknowledged ? 1 : 0;
            return true;
        }

        std::mt19937_64 m_random;
        start_names m_names;
        bool m_healthIsTrue;
        time_point m_now { std::chrono::hours(1) };
        time_point m_nextHeartbeat;
        std::vector<true_start> m_starts;
        std::vector<report_on_its_way> m_onTheirWay;
        std::vector<health_probe> m_probes;
        server_starts m_node { true, m_now };
        std::size_t m_runs = 0;
        std::size_t m_lateRuns = 0;
        // Of the running start: its newest report that has arrived, and when one was counted last.
        std::uint64_t m_newestArrived = 0;
        time_point m_lastCounted;
        std::size_t m_unservedReports = 0;
        std::size_t m_mostUnservedReports = 0;
    };

    constexpr std::uint64_t seeds = 3000;

    void play(starts_world& world)
    {
        constexpr int steps = 600;
        for (int step = 0; step < steps; ++step) {
            world.step();
        }
    }

    server_report reportOf(const std::string& instanceId, std::uint64_t sequence, server_condition condition = server_condition::Ready)
    {
        server_report report;
        report.start.instanceId = instanceId;
        report.sequence = sequence;
        report.condition = condition;
        return report;
    }

}

// Guards against requests to a start that has reported that it leaves, and against a server that is ready and
// gets none, in random orders of reports, restarts of the node and starts of the server.
TEST(ServerStarts, SendNothingToAStartThatLeavesAndFindTheOneThatIsReady)
{
    std::size_t runs = 0;
    for (auto names : { start_names::NewId, start_names::SameId, start_names::Either }) {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            starts_world world(seed, names, true);
            play(world);
            ASSERT_EQ(world.lateRuns(), 0U) << "seed " << seed << ", names " << static_cast<int>(names);
            // One that is probed, and one more whose probe is answered.
            ASSERT_LE(world.mostUnservedReports(), 2U) << "seed " << seed << ", names " << static_cast<int>(names);
            ASSERT_TRUE(world.servesInTheEnd()) << "seed " << seed << ", names " << static_cast<int>(names);
            runs += world.runs();
        }
    }
    EXPECT_GT(runs, seeds);
}

// Guards against requests to a start that has reported that it leaves, where health checks fail at times.
TEST(ServerStarts, SendNothingToAStartThatLeavesWhileHealthChecksAreWrong)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        starts_world world(seed, start_names::Either, false);
        play(world);
        ASSERT_EQ(world.lateRuns(), 0U) << "seed " << seed;
    }
}

// Guards against a restarted node that verifies only the first start that it hears of, where delayed reports of
// two starts arrive.
TEST(ServerStarts, VerifiesEachStartWhoseReportMayBeOlderThanTheProcess)
{
    const time_point started { std::chrono::hours(1) };
    server_starts starts { true, started };
    EXPECT_TRUE(starts.report(reportOf("crashed", 9), {}, started).needsProbe);
    EXPECT_TRUE(starts.report(reportOf("deregistered", 9), {}, started).needsProbe);
    starts.probed({ "deregistered" }, server_health::NotServing);
    EXPECT_FALSE(starts.takesWork());
    auto later = started + start_verification::maxReportDelay;
    EXPECT_TRUE(starts.report(reportOf("next", 1), {}, later).needsProbe);
    starts.probed({ "next" }, server_health::Serving);
    EXPECT_TRUE(starts.takesWork());
    EXPECT_EQ(starts.current()->start.instanceId, "next");
}

// Guards against a running server whose requests are ended by a delayed report of a crashed one.
TEST(ServerStarts, KeepARunningServerInUseBehindADelayedReport)
{
    const time_point started { std::chrono::hours(1) };
    for (auto now : { started, started + start_verification::maxReportDelay }) {
        server_starts starts { true, started };
        starts.report(reportOf("running", 3), {}, now);
        starts.probed({ "running" }, server_health::Serving);
        EXPECT_EQ(starts.report(reportOf("crashed", 1), {}, now).effect, report_effect::HeldBack);
        EXPECT_TRUE(starts.takesWork());
        starts.probed({ "crashed" }, server_health::NotServing);
        starts.report(reportOf("crashed", 2), {}, now);
        EXPECT_TRUE(starts.takesWork());
        EXPECT_EQ(starts.current()->start.instanceId, "running");
    }
}

// A server that starts in the place of a crashed one must be used, whatever its health check answers.
TEST(ServerStarts, UseAServerThatReplacesACrashedOne)
{
    const time_point started { std::chrono::hours(1) };
    auto now = started + start_verification::maxReportDelay;
    for (auto health : { server_health::Serving, server_health::NotServing, server_health::Unknown }) {
        server_starts starts { true, started };
        starts.report(reportOf("crashed", 3), {}, now);
        starts.probed({ "crashed" }, server_health::Serving);
        EXPECT_TRUE(starts.report(reportOf("next", 1), {}, now).needsProbe);
        starts.probed({ "next" }, health);
        if (health == server_health::NotServing) {
            starts.misdirected({ "crashed" });
            starts.report(reportOf("next", 2), {}, now);
        }
        EXPECT_TRUE(starts.takesWork());
        EXPECT_EQ(starts.current()->start.instanceId, "next");
    }
}

// The same, where the crashed one had reported that it leaves.
TEST(ServerStarts, UseAServerThatReplacesADrainingOne)
{
    const time_point started { std::chrono::hours(1) };
    auto now = started + start_verification::maxReportDelay;
    server_starts starts { true, started };
    starts.report(reportOf("draining", 3), {}, now);
    starts.probed({ "draining" }, server_health::Serving);
    starts.report(reportOf("next", 1), {}, now);
    starts.probed({ "next" }, server_health::NotServing);
    starts.report(reportOf("draining", 4, server_condition::Draining), {}, now);
    EXPECT_FALSE(starts.takesWork());
    starts.report(reportOf("next", 2), {}, now);
    EXPECT_TRUE(starts.takesWork());
    EXPECT_EQ(starts.current()->start.instanceId, "next");
}

}
