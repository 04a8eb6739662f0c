#include "decision/ticket.h"
#include "decision/verdict.h"

#include <gtest/gtest.h>

#include <set>

namespace vanillashunt {

TEST(VerdictWords, ExecutionNamesRoundTrip)
{
    for (auto value : { execution::NotRun, execution::MayHaveRun, execution::Ran }) {
        EXPECT_EQ(parseExecution(toString(value)), value);
    }
    EXPECT_FALSE(parseExecution("perhaps"));
}

TEST(VerdictWords, EachReasonHasItsOwnName)
{
    std::set<std::string> names;
    for (int index = 0; index < verdictReasonCount; ++index) {
        names.insert(toString(static_cast<verdict_reason>(index)));
    }
    EXPECT_EQ(names.size(), static_cast<std::size_t>(verdictReasonCount));
}

TEST(VerdictWords, TicketsRoundTrip)
{
    ticket original { 0xfeedULL, std::chrono::milliseconds(60000), 0xffffffffffffffffULL };
    EXPECT_EQ(parseTicket(toString(original)), original);
    EXPECT_FALSE(parseTicket("feed-1-2"));
    EXPECT_FALSE(parseTicket(std::string(50, '-')));
}

}
