#include "backend/server_notices.h"
#include "peer/notice_text.h"
#include "routing/notice_memory.h"

#include <gtest/gtest.h>

namespace vanillashunt {

namespace {

    using time_point = server_notices::time_point;
    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const time_point start { seconds(1000) };

    server_start bornAt(int millisecond)
    {
        return { "i-1", std::chrono::system_clock::time_point(milliseconds(millisecond)) };
    }

    received_notice limitAt(std::optional<double> limit, milliseconds received)
    {
        return { { limit, false }, true, start + received, start + received };
    }

    relayed_notice relayedLimit(std::optional<double> limit, milliseconds age)
    {
        return { hashOf(bornAt(1)), { limit, false }, 7, 1, age };
    }

}

// Guards against an older answer that arrives later and ends a limit or brings one back.
TEST(ServerNotices, IgnoreAnswersThatArriveOutOfOrder)
{
    server_notices notices;
    EXPECT_TRUE(notices.answered(bornAt(1), limitAt(5, milliseconds(100))));
    EXPECT_FALSE(notices.answered(bornAt(1), limitAt(std::nullopt, milliseconds(50))));
    EXPECT_EQ(notices.current(bornAt(1)).rateLimit, 5);
    EXPECT_TRUE(notices.answered(bornAt(1), limitAt(std::nullopt, milliseconds(200))));
    EXPECT_FALSE(notices.answered(bornAt(1), limitAt(5, milliseconds(150))));
    EXPECT_FALSE(notices.current(bornAt(1)).rateLimit);
}

// Guards against an older answer that a node reads after a newer one, for example when it has been
// suspended: only a request sent after the limit was known shows that it was raised or has ended.
TEST(ServerNotices, AreRelaxedOnlyByTheAnswerToALaterRequest)
{
    server_notices notices;
    notices.answered(bornAt(1), limitAt(5, milliseconds(100)));
    for (const auto& limit : std::vector<std::optional<double>> { std::nullopt, 50 }) {
        EXPECT_FALSE(notices.answered(bornAt(1), { { limit, false }, true, start + milliseconds(90), start + milliseconds(101) }));
    }
    EXPECT_TRUE(notices.answered(bornAt(1), { { 4, false }, true, start + milliseconds(90), start + milliseconds(102) }));
    EXPECT_TRUE(notices.answered(bornAt(1), { { 50, false }, true, start + milliseconds(110), start + milliseconds(120) }));
    EXPECT_EQ(notices.current(bornAt(1)).rateLimit, 50);
}

// Guards against a limit or a leaving that is applied to another start at the same address.
TEST(ServerNotices, BelongToOneStart)
{
    server_notices notices;
    notices.answered(bornAt(1), { { 5, true }, true, start, start });
    EXPECT_FALSE(notices.current(bornAt(2)).rateLimit);
    EXPECT_FALSE(notices.current(bornAt(2)).isLeaving);
    notices.answered(bornAt(2), limitAt(std::nullopt, milliseconds(100)));
    EXPECT_EQ(notices.current(bornAt(1)).rateLimit, 5);
    EXPECT_TRUE(notices.current(bornAt(1)).isLeaving);
}

// Guards against an unreadable limit, or an answer that the server has not signed, that ends a limit.
TEST(ServerNotices, AreNotEndedByAnAnswerThatTellsNothing)
{
    server_notices notices;
    notices.answered(bornAt(1), limitAt(5, milliseconds(0)));
    EXPECT_FALSE(notices.answered(bornAt(1), { {}, false, start + milliseconds(10), start + milliseconds(10) }));
    EXPECT_EQ(notices.current(bornAt(1)).rateLimit, 5);
}

// Guards against a server that gets requests again after one of its answers lacked the word.
TEST(ServerNotices, OfLeavingAreNeverWithdrawn)
{
    server_notices notices;
    notices.answered(bornAt(1), { { std::nullopt, true }, true, start, start });
    EXPECT_FALSE(notices.answered(bornAt(1), limitAt(std::nullopt, milliseconds(100))));
    EXPECT_FALSE(notices.relayed(relayedLimit(std::nullopt, {}), start + seconds(1)));
    EXPECT_TRUE(notices.current(bornAt(1)).isLeaving);
}

// Guards against a limit that is lost with the process of the server's node: other nodes tell its
// successor, of which the latest news counts, and the server's own answers count more.
TEST(ServerNotices, AreLearntFromOtherNodesUntilTheServerAnswers)
{
    server_notices notices;
    EXPECT_TRUE(notices.relayed(relayedLimit(5, seconds(2)), start));
    EXPECT_TRUE(notices.relayed(relayedLimit(6, seconds(1)), start));
    EXPECT_FALSE(notices.relayed(relayedLimit(7, seconds(3)), start));
    EXPECT_EQ(notices.current(bornAt(1)).rateLimit, 6);
    EXPECT_TRUE(notices.answered(bornAt(1), limitAt(std::nullopt, milliseconds(10))));
    EXPECT_FALSE(notices.relayed(relayedLimit(5, {}), start + seconds(1)));
    EXPECT_FALSE(notices.current(bornAt(1)).rateLimit);
}

// Guards against an ended limit that a node goes on to tell, since nobody tells it of the end.
TEST(ServerNotices, ThatHaveEndedAreToldToTheNodesThatRelayThem)
{
    server_notices notices;
    notices.answered(bornAt(1), limitAt(std::nullopt, milliseconds(0)));
    EXPECT_FALSE(notices.toRelay(bornAt(1), start));
    notices.relayed(relayedLimit(5, {}), start);
    auto told = notices.toRelay(bornAt(1), start);
    ASSERT_TRUE(told);
    EXPECT_FALSE(told->notice.rateLimit);
}

// Guards against memory that grows with the starts that other nodes name.
TEST(ServerNotices, OfManyStartsAreBounded)
{
    server_notices notices;
    notices.answered(bornAt(1), limitAt(5, seconds(1000)));
    for (std::uint64_t other = 1; other < 10000; ++other) {
        notices.relayed({ other, { 1.0, false }, 7, 1, {} }, start + seconds(10));
    }
    EXPECT_EQ(notices.current(bornAt(1)).rateLimit, 5);
}

// Guards against a node that remembers an older notice because its answer arrived later.
TEST(NoticeMemory, KeepsTheLatestNoticeOfANode)
{
    notice_memory memory;
    memory.learn("desk-1", { 1, { 5, false }, 7, 3, {} }, start);
    memory.learn("desk-1", { 1, { std::nullopt, false }, 7, 2, {} }, start + seconds(1));
    EXPECT_EQ(memory.find("desk-1", start)->notice.rateLimit, 5);
    memory.learn("desk-1", { 1, { 6, false }, 8, 1, seconds(5) }, start + seconds(2));
    EXPECT_EQ(memory.find("desk-1", start)->notice.rateLimit, 5);
    memory.learn("desk-1", { 1, { 6, false }, 8, 2, {} }, start + seconds(3));
    EXPECT_EQ(memory.find("desk-1", start + seconds(5))->notice.rateLimit, 6);
    EXPECT_EQ(memory.find("desk-1", start + seconds(5))->age, seconds(2));
    EXPECT_FALSE(memory.find("desk-2", start));
}

// Guards against a node that forgets a leaving because the restarted node of the server does not
// know of it yet.
TEST(NoticeMemory, KeepsThatAStartLeaves)
{
    notice_memory memory;
    memory.learn("desk-1", { 1, { std::nullopt, true }, 7, 3, {} }, start);
    memory.learn("desk-1", { 1, { 5, false }, 8, 1, {} }, start + seconds(1));
    EXPECT_TRUE(memory.find("desk-1", start + seconds(1))->notice.isLeaving);
    EXPECT_EQ(memory.find("desk-1", start + seconds(1))->notice.rateLimit, 5);
    memory.learn("desk-1", { 2, {}, 8, 2, {} }, start + seconds(2));
    EXPECT_FALSE(memory.find("desk-1", start + seconds(2))->notice.isLeaving);
}

// Guards against figures that change on their way between nodes.
TEST(NoticeText, IsReadAsItWasWritten)
{
    for (const auto& limit : std::vector<std::optional<double>> { std::nullopt, 0.0, 7.1, 0.0001, 1e9 }) {
        for (bool isLeaving : { false, true }) {
            relayed_notice told { ~0ULL, { limit, isLeaving }, 3, 4, milliseconds(250) };
            auto read = parseNotice(toText(told));
            ASSERT_TRUE(read);
            EXPECT_EQ(read->start, told.start);
            EXPECT_EQ(read->notice.rateLimit, limit);
            EXPECT_EQ(read->notice.isLeaving, isLeaving);
            EXPECT_EQ(read->observer, 3U);
            EXPECT_EQ(read->version, 4U);
            EXPECT_EQ(read->age, milliseconds(250));
        }
    }
    for (const std::string text : { "", "1", "1;2;3;4;0", "1;2;3;4;2;", "1;2;3;-4;0;", "1;2;3;4;0;x;", "1;2;3;4;0;-1;", "1;2;3;4;0;inf;", "1;2;3;4;0;5;6;" }) {
        EXPECT_FALSE(parseNotice(text)) << text;
    }
}

}
