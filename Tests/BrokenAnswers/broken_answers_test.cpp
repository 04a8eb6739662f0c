#include "BrokenAnswers/answer_reader.h"
#include "BrokenAnswers/broken_server.h"

#include <gtest/gtest.h>

namespace vanillashunt {

namespace {

    // More than the sockets of both sides hold, so that the request is still being written when the answer comes.
    constexpr std::size_t largeBytes = std::size_t { 16 } * 1024 * 1024;
    constexpr std::size_t smallBytes = 100;

    // What reads the answers.
    const std::string instanceClient = "ReadByTheInstanceClient";
    const std::string httpClient = "ReadByTheHttpClient";

    // A request by its size, and when it is answered.
    struct upload {
        std::string name;
        std::size_t bytes = 0;
        answer_time time = answer_time::AfterRequest;
    };

    std::vector<upload> uploads()
    {
        return {
            { "large, still being written", largeBytes, answer_time::BeforeBody },
            { "small, written and not read", smallBytes, answer_time::BeforeBody },
            { "small, written and read", smallBytes, answer_time::AfterRequest },
        };
    }

    const std::string ok = "HTTP/1.1 200 OK\r\nX-Own: 1\r\n";
    // The next request comes on another connection, which nothing behind this answer ends.
    const std::string last = ok + "Connection: close\r\n";
    const std::string withoutLength = last + "\r\nthe whole body";
    const std::string withLength = last + "Content-Length: 14\r\n\r\nthe whole body";
    const std::string chunked = last + "Transfer-Encoding: chunked\r\n\r\n9\r\nthe whole\r\n5\r\n body\r\n0\r\n\r\n";

    std::string bodyOf(const std::string& answer) { return answer.substr(answer.find("\r\n\r\n") + 4); }

    bool hasWholeHeader(const std::string& answer) { return answer.find("\r\n\r\n") != std::string::npos; }

}

// Every client that reads HTTP answers.
class broken_answers_test : public testing::TestWithParam<std::string> {
protected:
    read_answer answerTo(broken_server& server, const upload& kind)
    {
        return m_reader->send(server.address(), { "POST", "/x", { { "Host", "a.example" } }, bodyOf(kind) });
    }

    read_answer soundAnswerBehind(broken_server& server, const upload& kind)
    {
        return m_reader->sendInTurn(server.address(), { "POST", "/x", { { "Host", "a.example" } }, bodyOf(kind) }, { "GET", "/sound", { { "Host", "a.example" } }, {} });
    }

    read_answer answerOf(const broken_answer& answer, const upload& kind = { "none", 0 })
    {
        broken_server server(answer);
        return answerTo(server, kind);
    }

    void expectLost(const broken_answer& answer, const upload& kind = { "none", 0 })
    {
        auto result = answerOf(answer, kind);
        EXPECT_FALSE(result.isWhole) << kind.name << ": " << answer.bytes << ": " << result.body;
        EXPECT_TRUE(result.mayHaveRun) << kind.name << ": " << answer.bytes;
    }

    void expectBody(const broken_answer& answer, const upload& kind, const std::string& body)
    {
        auto result = answerOf(answer, kind);
        EXPECT_TRUE(result.isWhole) << kind.name << ": " << answer.bytes;
        EXPECT_EQ(result.body, body) << kind.name << ": " << answer.bytes;
    }

    std::unique_ptr<answer_reader> m_reader = GetParam() == httpClient ? makeHttpReader() : makeInstanceReader();

private:
    static message_body bodyOf(const upload& kind)
    {
        static const message_body large(std::string(largeBytes, 'u'));
        return kind.bytes == largeBytes ? large : message_body(std::string(kind.bytes, 'u'));
    }
};

INSTANTIATE_TEST_SUITE_P(BrokenAnswers, broken_answers_test, testing::Values(instanceClient, httpClient), [](const auto& parameter) { return parameter.param; });

// Guards against a part of a body that is taken for the whole, since the write of the request took the reset.
TEST_P(broken_answers_test, WithoutALengthAreLostByAReset)
{
    for (const auto& kind : uploads()) {
        expectLost({ ok + "\r\na part", connection_end::Reset, kind.time }, kind);
        expectLost({ ok + "\r\n", connection_end::Reset, kind.time }, kind);
    }
    const upload large { "large, partly read", largeBytes };
    expectLost({ ok + "\r\na part", connection_end::ResetLater, answer_time::BeforeBody }, large);
}

// Guards against a sound early answer that is taken for a broken one.
TEST_P(broken_answers_test, WithoutALengthAreWholeAtACleanEnd)
{
    for (const auto& kind : uploads()) {
        expectBody({ withoutLength, connection_end::Closed, kind.time }, kind, "the whole body");
        expectBody({ withoutLength, connection_end::ClosedThenReset, kind.time }, kind, "the whole body");
    }
}

// Guards against an answer that is refused although its own length shows that it has arrived as a whole.
TEST_P(broken_answers_test, WithALengthAreWholeWhateverComesBehind)
{
    for (const auto& kind : uploads()) {
        for (auto end : { connection_end::Closed, connection_end::ClosedThenReset, connection_end::Reset, connection_end::KeptOpen }) {
            expectBody({ withLength, end, kind.time }, kind, "the whole body");
            expectBody({ chunked, end, kind.time }, kind, "the whole body");
        }
    }
    expectBody({ withLength, connection_end::ResetLater, answer_time::BeforeBody }, { "large, partly read", largeBytes }, "the whole body");
}

// Guards against any first part of an answer, of its header or of its body, that is taken for an answer.
TEST_P(broken_answers_test, CutAtAnyByteAreWholeOrLost)
{
    for (const auto& kind : uploads()) {
        for (const auto& answer : { withoutLength, withLength, chunked }) {
            broken_server server;
            for (std::size_t cut = 0; cut <= answer.size(); ++cut) {
                auto part = answer.substr(0, cut);
                for (auto end : { connection_end::Closed, connection_end::Reset }) {
                    server.setAnswer({ part, end, kind.time });
                    bool endsWithConnection = answer == withoutLength && end == connection_end::Closed && hasWholeHeader(part);
                    bool isWhole = endsWithConnection || (cut == answer.size() && answer != withoutLength);
                    auto result = answerTo(server, kind);
                    ASSERT_EQ(result.isWhole, isWhole) << kind.name << ", reset: " << (end == connection_end::Reset) << ": " << part;
                    ASSERT_TRUE(result.isWhole || result.mayHaveRun) << kind.name << ": " << part;
                    ASSERT_EQ(result.body, endsWithConnection ? vanillashunt::bodyOf(part) : isWhole ? "the whole body"
                                                                                                     : "")
                        << kind.name << ": " << part;
                }
            }
        }
    }
}

// Guards against a request on a connection whose answer was broken, or on which the request before was not written.
TEST_P(broken_answers_test, EndTheirConnection)
{
    for (const auto& kind : uploads()) {
        broken_server server({ ok + "\r\na part", connection_end::Reset, kind.time });
        EXPECT_EQ(soundAnswerBehind(server, kind).body, "sound") << kind.name;
        EXPECT_EQ(server.connections(), 2U) << kind.name;
    }
    const upload large = uploads().front();
    for (auto end : { connection_end::Reset, connection_end::ClosedThenReset }) {
        broken_server server({ ok + "Content-Length: 14\r\n\r\nthe whole body", end, large.time });
        EXPECT_EQ(soundAnswerBehind(server, large).body, "sound");
        EXPECT_EQ(server.connections(), 2U);
    }
}

// Guards against a status that is none, which reaches callers as if it were an answer.
TEST_P(broken_answers_test, WithoutAValidStatusAreLost)
{
    for (const char* status : { "000", "001", "099", "600", "999", "20", "2000", "+20", " 200", "2x0", "" }) {
        for (const char* framing : { "Content-Length: 5\r\n\r\nwrong", "Content-Length: 0\r\n\r\n", "\r\nwrong" }) {
            expectLost({ "HTTP/1.1 " + std::string(status) + " x\r\n" + framing });
        }
    }
}

// Guards against an answer without a valid status that is skipped, so that bytes behind it are taken for the answer.
TEST_P(broken_answers_test, WithoutAValidStatusAreNotSkipped)
{
    for (const char* status : { "000", "099", "101", "600", "999" }) {
        expectLost({ "HTTP/1.1 " + std::string(status) + " x\r\nContent-Length: 0\r\n\r\n" + withLength, connection_end::KeptOpen });
    }
}

// Guards against an informational answer that is taken for the final one.
TEST_P(broken_answers_test, BehindInformationalOnesAreRead)
{
    const std::string hints = "HTTP/1.1 103 Early Hints\r\nX-Hint: 1\r\n\r\n";
    const std::string goOn = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::string both = goOn + hints + withLength;
    // The header of the final answer arrives with later reads.
    const std::string longer = goOn + hints + ok + "X-Long: " + std::string(5000, 'l') + "\r\nContent-Length: 14\r\n\r\nthe whole body";
    for (const auto& kind : uploads()) {
        expectBody({ both, connection_end::KeptOpen, kind.time }, kind, "the whole body");
        expectBody({ longer, connection_end::KeptOpen, kind.time }, kind, "the whole body");
        expectBody({ hints + withoutLength, connection_end::Closed, kind.time }, kind, "the whole body");
        expectLost({ hints, connection_end::Closed, kind.time }, kind);
        expectLost({ hints, connection_end::Reset, kind.time }, kind);
        expectLost({ goOn + ok, connection_end::Closed, kind.time }, kind);
    }
}

// Guards against a header that cannot be read, of which a line is passed on, or whose body is delimited wrongly.
TEST_P(broken_answers_test, WithABlankOrControlByteInAFieldNameAreLost)
{
    const std::string nul(1, '\0');
    const std::vector<std::string> names { "X Own", "X\tOwn", "X-Own ", "X-Own\t", "X\x01-Own", "X-Own\x7f", "\x1bX-Own", "X" + nul + "Own", "X\rOwn", "X\x80Own", "",
        "Content-Length ", "Content-Length\t", "Content\x01-Length", "Content-Length" + nul };
    for (const auto& name : names) {
        expectLost({ ok + name + ": 3\r\nContent-Length: 14\r\n\r\nthe whole body" });
        expectLost({ "HTTP/1.1 200 OK\r\n" + name + ": 3\r\n\r\nthe whole body" });
        expectLost({ ok + name + ": 3\r\n\r\nthe whole body" });
    }
    for (const char* name : { "Transfer-Encoding ", "Transfer-Encoding\t", "Transfer\x01-Encoding" }) {
        expectLost({ ok + name + ": chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n" });
        expectLost({ ok + "Content-Length: 15\r\n" + name + ": chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n" });
    }
}

// Guards against a line that begins with a blank and is passed on as a part of the one before, or whose field
// does not delimit the body.
TEST_P(broken_answers_test, WithABlankBeforeAFieldNameAreLost)
{
    const std::string sized = ok + "Content-Length: 14\r\n";
    for (const std::string blank : { " ", "\t", "  \t" }) {
        expectLost({ ok + blank + "X-Next: 3\r\nContent-Length: 14\r\n\r\nthe whole body" });
        expectLost({ "HTTP/1.1 200 OK\r\n" + blank + "X-Next: 3\r\nContent-Length: 14\r\n\r\nthe whole body" });
        expectLost({ "HTTP/1.1 200 OK\r\nX-Empty:\r\n" + blank + "X-Next: 3\r\nContent-Length: 14\r\n\r\nthe whole body" });
        expectLost({ sized + blank + "X-Next: 3\r\n\r\nthe whole body" });
        expectLost({ ok + blank + "Content-Length: 3\r\n\r\nthe whole body" });
        expectLost({ ok + blank + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n" });
        expectLost({ sized + blank + "\r\n\r\nthe whole body" });
    }
}

// Guards against a sound answer that is lost since lines of its body begin with a blank, or its values are between blanks.
TEST_P(broken_answers_test, DifferFromThoseWithBlanksElsewhere)
{
    const std::string body = "\r\n\r\n a\r\n b\r\n\tc";
    const upload none { "none", 0 };
    expectBody({ ok + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body }, none, body);
    expectBody({ ok + "\r\n" + body }, none, body);
    expectBody({ ok + "X-Spaced: \t a  b \t\r\nX-Blank: \t \r\nContent-Length: 14\r\n\r\nthe whole body" }, none, "the whole body");
}

}
