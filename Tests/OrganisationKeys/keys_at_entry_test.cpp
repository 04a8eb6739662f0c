#include "node/routed_entry.h"

#include <gtest/gtest.h>

namespace vanillashunt {

namespace {

    using time_point = routed_entry::time_point;
    using std::chrono::milliseconds;

    route routeTo(const std::string& prefix, std::uint32_t priority)
    {
        route result;
        result.name = prefix;
        result.host = "a.example";
        result.prefix = prefix;
        result.destinations = { { "desk", 1 } };
        result.idempotent = true;
        result.timeout = milliseconds(800);
        result.priority = priority;
        return result;
    }

    // An entry with one target and two organisations, "first" with the higher priority.
    class keyed_entry {
    public:
        keyed_entry()
            : m_entry({ { "a", "" }, "threads", {} }, hooks(), {})
        {
            configuration->version = 1;
            configuration->requiresKeys = true;
            configuration->routes = { routeTo("/read/", 2), routeTo("/confirm/", 0), routeTo("/open/", 2) };
            configuration->routes[2].isPublic = true;
            configuration->organisations = { { "large", { "key-large", "key-old" }, 1, {} }, { "first", { "key-first" }, 0, {} } };
            auto members = std::make_shared<std::vector<member>>();
            member server;
            server.id = 1;
            server.availabilityZone = "a";
            server.service = "desk";
            server.slots = 10;
            members->push_back(server);
            m_entry.setMembers(members, now);
        }

        void configure()
        {
            m_entry.setConfiguration(std::make_shared<route_configuration>(*configuration));
        }

        // Returns the status of a refusal; 0 for a request that was sent on.
        unsigned arrive(const std::string& path, const std::optional<std::string>& key, const std::string& requestId = "r1", const std::string& parentId = "")
        {
            unsigned status = 0;
            entry_request request { requestId, parentId, key, { "GET", path, { { "Host", "a.example" } }, "" }, now + milliseconds(5000) };
            m_entry.arrive(
                std::move(request), [&status](const entry_answer& answer) { status = answer.refusalStatus; }, now);
            return status;
        }

        time_point now { std::chrono::seconds(100) };
        std::shared_ptr<route_configuration> configuration = std::make_shared<route_configuration>();
        std::vector<call_request> sent;
        // The parent run of every request for which one is looked up.
        std::optional<parent_run> parentRun;

    private:
        entry_hooks hooks()
        {
            entry_hooks result;
            result.send = [this](std::uint64_t, const member&, const call_request& request) { sent.push_back(request); };
            result.cancelAttempt = [](std::uint64_t) {};
            result.attemptEnded = [](std::uint64_t, bool) {};
            result.findParent = [this](const entry_request&) { return parentRun; };
            result.onwardCallEnded = [](std::uint64_t, const onward_report&) {};
            result.random = [this] { return m_random += 0x9e3779b97f4a7c15U; };
            return result;
        }

        std::uint64_t m_random = 1;
        routed_entry m_entry;
    };

}

TEST(OrganisationKeys, IdentifyTheOrganisation)
{
    keyed_entry harness;
    harness.configure();
    EXPECT_EQ(harness.arrive("/read/1", "key-large"), 0U);
    EXPECT_EQ(harness.arrive("/read/1", "key-old"), 0U);
    EXPECT_EQ(harness.arrive("/read/1", "key-first"), 0U);
    ASSERT_EQ(harness.sent.size(), 3U);
    EXPECT_EQ(harness.sent[0].context.organisation, "large");
    EXPECT_EQ(harness.sent[1].context.organisation, "large");
    EXPECT_EQ(harness.sent[2].context.organisation, "first");
}

TEST(OrganisationKeys, AreRefusedIfUnknown)
{
    keyed_entry harness;
    harness.configure();
    EXPECT_EQ(harness.arrive("/read/1", "key-other"), 401U);
    EXPECT_EQ(harness.arrive("/read/1", ""), 401U);
    EXPECT_EQ(harness.arrive("/read/1", std::nullopt), 401U);
    EXPECT_TRUE(harness.sent.empty());
}

TEST(OrganisationKeys, AreNotCheckedBeforeAConfigurationIsKnown)
{
    keyed_entry harness;
    EXPECT_EQ(harness.arrive("/read/1", "key-large"), 503U);
}

TEST(OrganisationKeys, AreNotNeededWithoutOrganisations)
{
    keyed_entry harness;
    harness.configuration->organisations.clear();
    harness.configuration->requiresKeys = false;
    harness.configure();
    EXPECT_EQ(harness.arrive("/read/1", std::nullopt), 0U);
    EXPECT_EQ(harness.sent.at(0).context.organisation, "");
}

TEST(OrganisationKeys, AreNotNeededOnPublicRoutes)
{
    keyed_entry harness;
    harness.configure();
    EXPECT_EQ(harness.arrive("/open/1", std::nullopt), 0U);
    EXPECT_EQ(harness.arrive("/open/1", "key-other"), 0U);
    EXPECT_EQ(harness.arrive("/open/1", "key-first"), 0U);
    EXPECT_EQ(harness.sent.at(0).context.organisation, "");
    EXPECT_EQ(harness.sent.at(1).context.organisation, "");
    EXPECT_EQ(harness.sent.at(2).context.organisation, "first");
}

TEST(OrganisationKeys, AreAddedAndRemovedWithTheVersion)
{
    keyed_entry harness;
    harness.configure();
    harness.configuration->version = 2;
    harness.configuration->organisations[0].keys = { "key-new" };
    harness.configure();
    EXPECT_EQ(harness.arrive("/read/1", "key-large"), 401U);
    EXPECT_EQ(harness.arrive("/read/1", "key-new"), 0U);
    harness.configuration->version = 1;
    harness.configuration->organisations[0].keys = { "key-large" };
    harness.configure();
    EXPECT_EQ(harness.arrive("/read/1", "key-large"), 401U);
}

// Onward calls carry no key; they inherit the organisation and position of their parent request.
TEST(OrganisationKeys, AreNotNeededForOnwardCalls)
{
    keyed_entry harness;
    harness.configure();
    request_context parent;
    parent.organisation = "first";
    parent.position = 9000;
    harness.parentRun = parent_run { 5, parent };
    EXPECT_EQ(harness.arrive("/read/1", std::nullopt, "r1.1", "r1"), 0U);
    EXPECT_EQ(harness.sent.at(0).context.organisation, "first");
    EXPECT_EQ(harness.sent.at(0).context.position, 9000U);
}

// A run's deadline is not secret: any client may send a request with the same one.
TEST(OrganisationKeys, AreNotReplacedByTheDeadlineOfARun)
{
    keyed_entry harness;
    harness.configure();
    harness.parentRun = parent_run { 5, {} };
    EXPECT_EQ(harness.arrive("/read/1", std::nullopt, "r1", ""), 401U);
}

// The call belongs to a run that this node does not know because it has restarted since. Nobody
// waits for its answer, and it has not run.
TEST(OrganisationKeys, AreNotReplacedByAnUnknownParentId)
{
    keyed_entry harness;
    harness.configure();
    EXPECT_EQ(harness.arrive("/read/1", std::nullopt, "r1.1", "r1"), 503U);
}

// A client cannot give its request the organisation and position of a running one.
TEST(OrganisationKeys, MarkAClientRequestWhateverItsParentId)
{
    keyed_entry harness;
    harness.configure();
    request_context parent;
    parent.organisation = "first";
    parent.position = 12000;
    harness.parentRun = parent_run { 5, parent };
    EXPECT_EQ(harness.arrive("/read/1", "key-large", "r1.1", "r1"), 0U);
    EXPECT_EQ(harness.sent.at(0).context.organisation, "large");
    EXPECT_LT(harness.sent.at(0).context.position, 12000U);
    EXPECT_EQ(harness.sent.at(0).context.depth, 0U);
}

// Overload sheds the lowest positions first. All requests of the organisation of higher priority
// are above all of the other one, and within each the confirmations are above the reads.
TEST(OrganisationKeys, TakePrecedenceOverTheRoutesPriority)
{
    keyed_entry harness;
    harness.configure();
    for (int i = 0; i < 50; ++i) {
        auto id = std::to_string(i);
        harness.sent.clear();
        harness.arrive("/read/1", "key-large", "a" + id);
        harness.arrive("/confirm/1", "key-large", "b" + id);
        harness.arrive("/read/1", "key-first", "c" + id);
        harness.arrive("/confirm/1", "key-first", "d" + id);
        ASSERT_EQ(harness.sent.size(), 4U);
        for (std::size_t index = 1; index < harness.sent.size(); ++index) {
            EXPECT_LT(harness.sent[index - 1].context.position, harness.sent[index].context.position);
        }
    }
}

}
