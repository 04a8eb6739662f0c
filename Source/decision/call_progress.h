#pragma once

#include "decision/ticket.h"
#include "decision/verdict.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace vanillashunt {

// Who may hold a call's ticket besides this call.
enum class permit_origin {
    Minted, // By this node for this call: no earlier try can have used it.
    Received, // From the caller or a claim: earlier tries may have used it.
};

// What an attempt takes along.
struct attempt_start {
    // 1 for the first attempt.
    std::uint32_t attempt = 0;
    // Retry tokens for everything below the attempt.
    std::uint32_t tokens = 0;
};

// What came of an attempt.
struct attempt_result {
    verdict outcome;
    // Retry tokens that came back with the answer.
    std::uint32_t tokens = 0;
    // The use of the ticket that its home would run next.
    std::uint32_t nextUse = 0;
    // Whether the call's shedding position is below the cut that came back: then
    // every other server sheds it too.
    bool belowCut = false;
    // Stands for the ticket from now on: its home can run nothing more, and handed it over.
    std::optional<ticket> successor = std::nullopt;
};

// How a call's attempts may follow each other, and what may be said of the
// whole call: retry tokens are conserved, a ticket is used at one home only, and
// "not run" is said only if no attempt ran or can still run.
class call_progress {
public:
    call_progress() = default;
    // earlierMayHaveRun: whether an earlier try of the caller may have run.
    call_progress(bool idempotent, std::uint32_t tokens, bool earlierMayHaveRun);

    // The ticket that the next attempt is to use; its home is the only target then.
    const std::optional<ticket>& permit() const { return m_permit; }
    bool needsPermit() const { return !m_idempotent && !m_permit; }
    void setPermit(const ticket&, permit_origin);

    // For a request whose claim is known: its ticket stands for every earlier
    // try, so that the ticket's home can speak for all of them.
    void setClaimKnown() { m_earlierMayHaveRun = false; }

    // Whether an earlier try of the caller may have run, and no ticket or claim can tell.
    bool mustNotRun() const { return needsPermit() && m_earlierMayHaveRun; }

    // Members that were tried, for the router to avoid.
    const std::vector<std::uint64_t>& tried() const { return m_tried; }

    attempt_start begin(std::uint64_t memberId);
    void finished(const attempt_result&);

    // For an attempt that is given up without a result.
    void abandoned();

    // Whether another attempt may follow the last one; retry() spends its token.
    bool mayRetry(std::chrono::steady_clock::time_point deadline, std::chrono::steady_clock::time_point now) const;
    // Whether the next attempt only tells the home the ticket's next use, or goes to the home
    // of its successor, which is no retry of work: the home answered that it did nothing.
    bool repeatsUse() const { return m_repeatsUse; }
    void retry();

    // What may be said of the whole call after the last attempt.
    execution overall(execution last) const;

    std::uint32_t tokens() const { return m_tokens; }
    std::uint32_t attempts() const { return m_attempts; }

private:
    void refused(const attempt_result&);
    void handedOver(const attempt_result&);
    void repeatUse();

    bool m_idempotent = true;
    bool m_earlierMayHaveRun = false;
    // Whether an attempt of this call may have run or may still run.
    bool m_attemptMayHaveRun = false;
    std::uint32_t m_tokens = 0;
    std::uint32_t m_tokensSent = 0;
    std::uint32_t m_attempts = 0;
    std::optional<ticket> m_permit;
    permit_origin m_origin = permit_origin::Minted;
    bool m_useRepeated = false;
    bool m_repeatsUse = false;
    bool m_belowCut = false;
    verdict m_last;
    std::vector<std::uint64_t> m_tried;
};

}
