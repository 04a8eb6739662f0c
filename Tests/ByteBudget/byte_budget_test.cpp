#include "budget/byte_reservation.h"

#include <gtest/gtest.h>

#include <deque>
#include <random>

namespace vanillashunt {

namespace {

    using std::chrono::milliseconds;
    using time_point = byte_budget::time_point;

    constexpr std::uint64_t kibibyte = 1024;
    constexpr std::uint64_t mebibyte = 1024 * kibibyte;

    // Of these 80 MiB, 10 are kept for small messages; one message may hold 70.
    byte_budget_settings settings()
    {
        byte_budget_settings result;
        result.totalBytes = 80 * mebibyte;
        result.freeShareBytes = 64 * kibibyte;
        result.maxWait = milliseconds(2000);
        result.maxGrowth = milliseconds(5000);
        return result;
    }

    constexpr time_point start { milliseconds(1000) };

    std::shared_ptr<byte_budget> makeBudget() { return std::make_shared<byte_budget>(settings()); }

    byte_reservation open(const std::shared_ptr<byte_budget>& budget, byte_place place = byte_place::Server) { return { budget, place }; }

    byte_grant_handler record(std::vector<byte_grant>& grants)
    {
        return [&grants](byte_grant grant) { grants.push_back(grant); };
    }

    void ignore(byte_grant) { }

}

// Guards against bytes that stay counted after their message is gone.
TEST(ByteBudget, GetsBackWhatAMessageHeld)
{
    auto budget = makeBudget();
    auto now = start;
    {
        auto message = open(budget);
        EXPECT_EQ(message.reserve(30 * mebibyte, 64 * mebibyte, now, ignore), byte_grant::Granted);
        EXPECT_EQ(budget->heldBytes(byte_place::Server), 30 * mebibyte);
        message.complete(20 * mebibyte);
        EXPECT_EQ(budget->heldBytes(), 20 * mebibyte);
        auto moved = std::move(message);
        EXPECT_EQ(moved.heldBytes(), 20 * mebibyte);
        EXPECT_EQ(budget->growing(), 0U);
    }
    EXPECT_EQ(budget->heldBytes(), 0U);
    EXPECT_EQ(budget->heldBytes(byte_place::Server), 0U);
}

// Guards against small messages that wait or are refused while large ones fill the budget.
TEST(ByteBudget, GivesSmallMessagesTheirShareWhileLargeOnesFillIt)
{
    auto budget = makeBudget();
    auto now = start;
    auto large = open(budget);
    EXPECT_EQ(large.reserve(70 * mebibyte, 70 * mebibyte, now, ignore), byte_grant::Granted);
    auto waiting = open(budget);
    EXPECT_EQ(waiting.reserve(mebibyte, mebibyte, now, ignore), byte_grant::Waiting);
    std::vector<byte_reservation> small;
    for (int i = 0; i < 100; ++i) {
        small.push_back(open(budget, byte_place::Caller));
        EXPECT_EQ(small.back().reserve(64 * kibibyte, 64 * kibibyte, now, ignore), byte_grant::Granted);
    }
}

// Guards against small messages that fill the room of a large one which has begun.
TEST(ByteBudget, KeepsSmallMessagesFromTheRoomOfALargeOne)
{
    auto budget = makeBudget();
    auto now = start;
    auto large = open(budget);
    EXPECT_EQ(large.reserve(mebibyte, 70 * mebibyte, now, ignore), byte_grant::Granted);
    std::deque<byte_reservation> small;
    std::vector<byte_grant> grants;
    do {
        small.push_back(open(budget));
    } while (small.back().reserve(64 * kibibyte, 64 * kibibyte, now, record(grants)) == byte_grant::Granted);
    // All but the last one, which waits: three quarters of the part for small messages.
    EXPECT_EQ(small.size() - 1, 120U);
    std::deque<byte_reservation> complete;
    do {
        complete.push_back(open(budget));
    } while (complete.back().completeIfRoom(64 * kibibyte));
    EXPECT_EQ(budget->heldBytes(), 11 * mebibyte);
    std::vector<byte_grant> furtherGrants;
    auto further = open(budget);
    EXPECT_EQ(further.reserve(kibibyte, kibibyte, now, record(furtherGrants)), byte_grant::Waiting);
    EXPECT_FALSE(open(budget).completeIfRoom(kibibyte));
    EXPECT_EQ(budget->counts().refusals.at(static_cast<std::size_t>(byte_refusal_cause::NoSmallRoom)), 2U);
    small.pop_front();
    small.pop_front();
    budget->tick(now);
    EXPECT_EQ(grants, std::vector<byte_grant> { byte_grant::Granted });
    EXPECT_EQ(furtherGrants, std::vector<byte_grant> { byte_grant::Granted });
    EXPECT_EQ(large.reserve(70 * mebibyte, 70 * mebibyte, now, ignore), byte_grant::Granted);
    EXPECT_LE(budget->heldBytes(), settings().totalBytes);
}

// Guards against messages that have just begun and arrive slowly, for which complete ones are refused.
TEST(ByteBudget, HasRoomForCompleteMessagesBesideManyThatHaveJustBegun)
{
    constexpr std::uint64_t receivedBytes = 1000;
    for (bool isFilledByLarge : { false, true }) {
        auto budget = makeBudget();
        auto now = start;
        auto large = open(budget);
        if (isFilledByLarge) {
            EXPECT_EQ(large.reserve(70 * mebibyte, 70 * mebibyte, now, ignore), byte_grant::Granted);
        }
        std::deque<byte_reservation> begun;
        for (int i = 0; i < 4000; ++i) {
            begun.push_back(open(budget));
            begun.back().reserve(nextReservation(receivedBytes, 60 * mebibyte), 60 * mebibyte, now, ignore);
        }
        std::deque<byte_reservation> complete;
        for (int i = 0; i < 1000; ++i) {
            complete.push_back(open(budget, byte_place::Caller));
            EXPECT_TRUE(complete.back().completeIfRoom(kibibyte));
        }
        EXPECT_LE(budget->heldBytes(), settings().totalBytes);
    }
}

// Guards against large messages that cannot grow since the room which nobody needs is kept for small ones, and
// against the reverse.
TEST(ByteBudget, UsesTheRoomOfLargeMessagesForSmallOnesWhileThereAreNone)
{
    auto budget = makeBudget();
    auto now = start;
    std::deque<byte_reservation> complete;
    while (budget->heldBytes() < 70 * mebibyte) {
        complete.push_back(open(budget));
        ASSERT_TRUE(complete.back().completeIfRoom(32 * kibibyte));
    }
    auto large = open(budget);
    std::vector<byte_grant> grants;
    EXPECT_EQ(large.reserve(60 * mebibyte, 60 * mebibyte, now, record(grants)), byte_grant::Waiting);
    complete.resize(10);
    budget->tick(now);
    EXPECT_EQ(grants, std::vector<byte_grant> { byte_grant::Granted });
}

// Guards against a message that waited for a part of its share, and then counts as one that needs no more.
TEST(ByteBudget, LetsAMessageThatWaitedForItsShareGrowToItsFullSize)
{
    auto budget = makeBudget();
    auto now = start;
    auto holder = open(budget);
    holder.complete(70 * mebibyte);
    std::deque<byte_reservation> small;
    std::vector<byte_grant> grants;
    do {
        small.push_back(open(budget));
    } while (small.back().reserve(64 * kibibyte, 64 * kibibyte, now, record(grants)) == byte_grant::Granted);
    auto header = open(budget);
    EXPECT_EQ(header.reserve(4 * kibibyte, 4 * kibibyte, now, record(grants)), byte_grant::Waiting);
    holder.release();
    small.clear();
    budget->tick(now);
    ASSERT_EQ(grants, std::vector<byte_grant> { byte_grant::Granted });
    EXPECT_EQ(header.reserve(mebibyte, 64 * mebibyte, now, ignore), byte_grant::Granted);
    auto other = open(budget);
    EXPECT_EQ(other.reserve(20 * mebibyte, 20 * mebibyte, now, ignore), byte_grant::Waiting);
    EXPECT_EQ(header.reserve(64 * mebibyte, 64 * mebibyte, now, ignore), byte_grant::Granted);
    header.release();
    EXPECT_EQ(budget->heldBytes(), 0U);
}

// Guards against messages that each hold a part and wait for the others for ever.
TEST(ByteBudget, LetsTheFirstMessageGrowToItsFullSize)
{
    auto budget = makeBudget();
    auto now = start;
    auto first = open(budget);
    auto second = open(budget);
    EXPECT_EQ(first.reserve(mebibyte, 64 * mebibyte, now, ignore), byte_grant::Granted);
    EXPECT_EQ(second.reserve(6 * mebibyte, 64 * mebibyte, now, ignore), byte_grant::Granted);
    std::vector<byte_grant> grants;
    EXPECT_EQ(second.reserve(7 * mebibyte, 64 * mebibyte, now, record(grants)), byte_grant::Waiting);
    EXPECT_EQ(first.reserve(64 * mebibyte, 64 * mebibyte, now, ignore), byte_grant::Granted);
    first.complete(64 * mebibyte);
    budget->tick(now);
    EXPECT_TRUE(grants.empty());
    first.release();
    budget->tick(now);
    EXPECT_EQ(grants, std::vector<byte_grant> { byte_grant::Granted });
    EXPECT_EQ(second.reserve(64 * mebibyte, 64 * mebibyte, now, ignore), byte_grant::Granted);
}

// Guards against a message that waits while later ones take the room that becomes free.
TEST(ByteBudget, GrantsRoomInTheOrderOfTheTurns)
{
    auto budget = makeBudget();
    auto now = start;
    auto holder = open(budget);
    EXPECT_EQ(holder.reserve(70 * mebibyte, 70 * mebibyte, now, ignore), byte_grant::Granted);
    std::vector<byte_grant> older;
    std::vector<byte_grant> newer;
    auto first = open(budget);
    EXPECT_EQ(first.reserve(40 * mebibyte, 40 * mebibyte, now, record(older)), byte_grant::Waiting);
    auto second = open(budget);
    EXPECT_EQ(second.reserve(mebibyte, mebibyte, now, record(newer)), byte_grant::Waiting);
    holder.complete(50 * mebibyte);
    budget->tick(now);
    EXPECT_TRUE(older.empty());
    EXPECT_TRUE(newer.empty());
    holder.release();
    budget->tick(now);
    EXPECT_EQ(older.size(), 1U);
    EXPECT_EQ(newer.size(), 1U);
}

// Guards against a message that waits for room until its sender gives up.
TEST(ByteBudget, RefusesWhatWaitedTooLong)
{
    auto budget = makeBudget();
    auto now = start;
    std::vector<byte_refusal> refusals;
    budget->setRefusalHandler([&refusals](const byte_refusal& refusal) { refusals.push_back(refusal); });
    auto holder = open(budget);
    EXPECT_EQ(holder.reserve(70 * mebibyte, 70 * mebibyte, now, ignore), byte_grant::Granted);
    holder.complete(70 * mebibyte);
    std::vector<byte_grant> grants;
    auto waiting = open(budget, byte_place::PeerRequest);
    EXPECT_EQ(waiting.reserve(mebibyte, mebibyte, now, record(grants)), byte_grant::Waiting);
    budget->tick(now + milliseconds(1999));
    EXPECT_TRUE(grants.empty());
    budget->tick(now + milliseconds(2000));
    EXPECT_EQ(grants, std::vector<byte_grant> { byte_grant::Refused });
    ASSERT_EQ(refusals.size(), 1U);
    EXPECT_EQ(refusals.front().place, byte_place::PeerRequest);
    EXPECT_EQ(refusals.front().cause, byte_refusal_cause::WaitedTooLong);
}

// Guards against a message that keeps its room and never ends, while others wait for it.
TEST(ByteBudget, CutsOffAFirstMessageThatTakesTooLongWhileOthersWait)
{
    auto budget = makeBudget();
    auto now = start;
    std::vector<byte_grant> first;
    auto slow = open(budget);
    EXPECT_EQ(slow.reserve(mebibyte, 70 * mebibyte, now, record(first)), byte_grant::Granted);
    budget->tick(now + milliseconds(60000));
    EXPECT_TRUE(first.empty());
    now += milliseconds(60000);
    std::vector<byte_grant> second;
    auto waiting = open(budget);
    EXPECT_EQ(waiting.reserve(2 * mebibyte, 2 * mebibyte, now, record(second)), byte_grant::Waiting);
    budget->tick(now);
    EXPECT_EQ(first, std::vector<byte_grant> { byte_grant::Refused });
    slow.release();
    budget->tick(now);
    EXPECT_EQ(second, std::vector<byte_grant> { byte_grant::Granted });
}

// Guards against a message that can never fit and waits all the same.
TEST(ByteBudget, RefusesAtOnceWhatNeverFits)
{
    auto budget = makeBudget();
    auto now = start;
    auto message = open(budget);
    EXPECT_EQ(message.reserve(71 * mebibyte, 71 * mebibyte, now, ignore), byte_grant::Refused);
}

// Guards against a handler that is called for a message which is gone.
TEST(ByteBudget, ForgetsAMessageThatIsReleasedWhileItWaits)
{
    auto budget = makeBudget();
    auto now = start;
    auto holder = open(budget);
    EXPECT_EQ(holder.reserve(70 * mebibyte, 70 * mebibyte, now, ignore), byte_grant::Granted);
    std::vector<byte_grant> grants;
    {
        auto waiting = open(budget);
        EXPECT_EQ(waiting.reserve(mebibyte, mebibyte, now, record(grants)), byte_grant::Waiting);
    }
    holder.release();
    budget->tick(now + milliseconds(60000));
    EXPECT_TRUE(grants.empty());
    EXPECT_EQ(budget->waiting(), 0U);
}

// Guards against any order of messages in which more is held than the budget has, or in which a message
// neither completes nor is refused.
TEST(ByteBudget, HoldsAndEndsEveryMessageInRandomOrders)
{
    auto budget = makeBudget();
    auto now = start;
    struct sender {
        byte_reservation room;
        std::uint64_t size = 0;
        std::uint64_t received = 0;
        bool waits = false;
        bool ends = false;
    };
    constexpr int messages = 400;
    for (unsigned seed = 1; seed <= 50; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937 random(seed);
        std::deque<sender> senders;
        int begun = 0;
        int ended = 0;
        for (int step = 0; ended < messages && step < 1000000; ++step) {
            now += milliseconds(1);
            if (begun < messages && random() % 4 == 0) {
                ++begun;
                auto& added = senders.emplace_back();
                added.room = open(budget);
                added.size = 1 + random() % (random() % 3 == 0 ? 64 * mebibyte : 128 * kibibyte);
            }
            for (auto& each : senders) {
                if (each.waits || each.ends || each.received == each.size || random() % 8 != 0) {
                    continue;
                }
                auto wanted = nextReservation(each.received + 1, each.size);
                auto grant = each.room.reserve(wanted, each.size, now, [&each, wanted](byte_grant later) {
                    each.waits = false;
                    each.ends = later == byte_grant::Refused;
                    each.received = later == byte_grant::Granted ? wanted : each.received;
                });
                each.waits = grant == byte_grant::Waiting;
                each.ends = grant == byte_grant::Refused;
                each.received = grant == byte_grant::Granted ? wanted : each.received;
            }
            budget->tick(now);
            ASSERT_LE(budget->heldBytes(), settings().totalBytes);
            for (auto& each : senders) {
                bool isComplete = each.received == each.size && random() % 16 == 0;
                if (each.size != 0 && (each.ends || isComplete)) {
                    each.room.release();
                    each.size = 0;
                    each.received = 0;
                    each.ends = true;
                    ++ended;
                }
            }
            while (!senders.empty() && senders.front().size == 0) {
                senders.pop_front();
            }
        }
        EXPECT_EQ(ended, messages);
        EXPECT_EQ(budget->heldBytes(), 0U);
        EXPECT_EQ(budget->growing(), 0U);
    }
}

// Guards against a budget that leaves the process itself, the allocator and the sockets no memory.
TEST(MessageBudget, LeavesMemoryForTheRestOfTheProcess)
{
    EXPECT_EQ(messageBudget(260 * mebibyte), 159 * mebibyte);
    EXPECT_EQ(messageBudget(160 * mebibyte), 84 * mebibyte);
    EXPECT_EQ(messageBudget(0), 8 * mebibyte);
}

}
