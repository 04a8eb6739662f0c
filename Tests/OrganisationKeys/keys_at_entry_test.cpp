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

    // One entry and one server, and two organisations of which one has a priority.
    class keyed_world {
    public:
        keyed_world()
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
        // The run that is taken for the maker of whatever asks for one.
        std::optional<parent_run> running;

    private:
        entry_hooks hooks()
        {
            entry_hooks result;
            result.send = [this](std::uint64_t, const member&, const call_request& request) { sent.push_back(request); };
            result.cancelAttempt = [](std::uint64_t) {};
            result.ended = [](std::uint64_t, bool) {};
            result.findParent = [this](const entry_request&) { return running; };
            result.onwardEnded = [](std::uint64_t, const onward_report&) {};
            result.random = [this] { return m_random += 0x9e3779b97f4a7c15U; };
            return result;
        }

        std::uint64_t m_random = 1;
        routed_entry m_entry;
    };

}

TEST(OrganisationKeys, TellWhoAsks)
{
    keyed_world world;
    world.configure();
    EXPECT_EQ(world.arrive("/read/1", "key-large"), 0U);
    EXPECT_EQ(world.arrive("/read/1", "key-old"), 0U);
    EXPECT_EQ(world.arrive("/read/1", "key-first"), 0U);
    ASSERT_EQ(world.sent.size(), 3U);
    EXPECT_EQ(world.sent[0].context.organisation, "large");
    EXPECT_EQ(world.sent[1].context.organisation, "large");
    EXPECT_EQ(world.sent[2].context.organisation, "first");
}

TEST(OrganisationKeys, ThatNobodyHasAreRefused)
{
    keyed_world world;
    world.configure();
    EXPECT_EQ(world.arrive("/read/1", "key-other"), 401U);
    EXPECT_EQ(world.arrive("/read/1", ""), 401U);
    EXPECT_EQ(world.arrive("/read/1", std::nullopt), 401U);
    EXPECT_TRUE(world.sent.empty());
}

TEST(OrganisationKeys, AreNotJudgedBeforeAnyAreKnown)
{
    keyed_world world;
    EXPECT_EQ(world.arrive("/read/1", "key-large"), 503U);
}

TEST(OrganisationKeys, AreNotNeededWhereTheOperatorTellsNobodyApart)
{
    keyed_world world;
    world.configuration->organisations.clear();
    world.configuration->requiresKeys = false;
    world.configure();
    EXPECT_EQ(world.arrive("/read/1", std::nullopt), 0U);
    EXPECT_EQ(world.sent.at(0).context.organisation, "");
}

TEST(OrganisationKeys, AreNotNeededOnPublicRoutes)
{
    keyed_world world;
    world.configure();
    EXPECT_EQ(world.arrive("/open/1", std::nullopt), 0U);
    EXPECT_EQ(world.arrive("/open/1", "key-other"), 0U);
    EXPECT_EQ(world.arrive("/open/1", "key-first"), 0U);
    EXPECT_EQ(world.sent.at(0).context.organisation, "");
    EXPECT_EQ(world.sent.at(1).context.organisation, "");
    EXPECT_EQ(world.sent.at(2).context.organisation, "first");
}

TEST(OrganisationKeys, GoAndComeWithTheVersion)
{
    keyed_world world;
    world.configure();
    world.configuration->version = 2;
    world.configuration->organisations[0].keys = { "key-new" };
    world.configure();
    EXPECT_EQ(world.arrive("/read/1", "key-large"), 401U);
    EXPECT_EQ(world.arrive("/read/1", "key-new"), 0U);
    world.configuration->version = 1;
    world.configuration->organisations[0].keys = { "key-large" };
    world.configure();
    EXPECT_EQ(world.arrive("/read/1", "key-large"), 401U);
}

// The own server's calls carry no key, and belong to the organisation of their request.
TEST(OrganisationKeys, AreInheritedByCallsOfTheServer)
{
    keyed_world world;
    world.configure();
    request_context parent;
    parent.organisation = "first";
    parent.position = 9000;
    world.running = parent_run { 5, parent };
    EXPECT_EQ(world.arrive("/read/1", std::nullopt, "r1.1", "r1"), 0U);
    EXPECT_EQ(world.sent.at(0).context.organisation, "first");
    EXPECT_EQ(world.sent.at(0).context.position, 9000U);
}

// A run's deadline is no secret: any client may have the same.
TEST(OrganisationKeys, AreNotReplacedByTheDeadlineOfARun)
{
    keyed_world world;
    world.configure();
    world.running = parent_run { 5, {} };
    EXPECT_EQ(world.arrive("/read/1", std::nullopt, "r1", ""), 401U);
}

// It came from a run that this node, which has started since, does not know: nobody waits for
// its answer, and it has not run.
TEST(OrganisationKeys, OfARequestThatIsNotRunningHereAreUnknown)
{
    keyed_world world;
    world.configure();
    EXPECT_EQ(world.arrive("/read/1", std::nullopt, "r1.1", "r1"), 503U);
}

// A client cannot give its request the place of one that runs.
TEST(OrganisationKeys, MakeAWholeRequestWhateverItsId)
{
    keyed_world world;
    world.configure();
    request_context parent;
    parent.organisation = "first";
    parent.position = 12000;
    world.running = parent_run { 5, parent };
    EXPECT_EQ(world.arrive("/read/1", "key-large", "r1.1", "r1"), 0U);
    EXPECT_EQ(world.sent.at(0).context.organisation, "large");
    EXPECT_LT(world.sent.at(0).context.position, 12000U);
    EXPECT_EQ(world.sent.at(0).context.depth, 0U);
}

// An overload cuts from below: all that the first organisation asks stands above all that the
// other does, and each one's confirmations above its reads.
TEST(OrganisationKeys, GoBeforeTheRoutesPriority)
{
    keyed_world world;
    world.configure();
    for (int i = 0; i < 50; ++i) {
        auto id = std::to_string(i);
        world.sent.clear();
        world.arrive("/read/1", "key-large", "a" + id);
        world.arrive("/confirm/1", "key-large", "b" + id);
        world.arrive("/read/1", "key-first", "c" + id);
        world.arrive("/confirm/1", "key-first", "d" + id);
        ASSERT_EQ(world.sent.size(), 4U);
        for (std::size_t each = 1; each < world.sent.size(); ++each) {
            EXPECT_LT(world.sent[each - 1].context.position, world.sent[each].context.position);
        }
    }
}

}
