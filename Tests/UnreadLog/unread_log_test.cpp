#include "events/line_writer.h"

#include <gtest/gtest.h>

#include <array>
#include <string>

#include <unistd.h>

namespace vanillashunt {

namespace {

    // A pipe whose reader reads when the test says so.
    class unread_pipe {
    public:
        unread_pipe() { EXPECT_EQ(pipe(m_ends.data()), 0); }

        ~unread_pipe()
        {
            close(m_ends[0]);
            close(m_ends[1]);
        }

        int writeEnd() const { return m_ends[1]; }

        std::string read(std::size_t most) const
        {
            std::string bytes(most, '\0');
            auto count = ::read(m_ends[0], bytes.data(), bytes.size());
            bytes.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
            return bytes;
        }

    private:
        std::array<int, 2> m_ends {};
    };

}

// A writer that blocked would never come to the end of this.
TEST(UnreadLog, CostsLinesAndNeverTime)
{
    unread_pipe pipe;
    line_writer writer(pipe.writeEnd());
    constexpr int lines = 5000;
    for (int i = 0; i < lines; ++i) {
        writer.write(std::string(99, 'x'));
    }
    EXPECT_GT(writer.leftOut(), 1000U);
    EXPECT_LT(writer.leftOut(), static_cast<std::uint64_t>(lines));
}

TEST(UnreadLog, SaysHowManyLinesAreMissing)
{
    unread_pipe pipe;
    line_writer writer(pipe.writeEnd());
    while (writer.leftOut() < 3) {
        writer.write(std::string(999, 'x'));
    }
    pipe.read(1 << 20);
    writer.write("after");
    auto text = pipe.read(1 << 20);
    EXPECT_NE(text.find("VS106 log lines left out, since nobody read them count=\"3\""), std::string::npos);
    EXPECT_NE(text.find("after\n"), std::string::npos);
}

TEST(UnreadLog, CutsALineThatIsTooLong)
{
    unread_pipe pipe;
    line_writer writer(pipe.writeEnd());
    writer.write(std::string(100000, 'x'));
    auto text = pipe.read(1 << 20);
    EXPECT_LT(text.size(), 8192U);
    EXPECT_EQ(text.back(), '\n');
}

}
