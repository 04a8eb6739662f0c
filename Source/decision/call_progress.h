#pragma once

#include "decision/ticket.h"
#include "decision/verdict.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace vanillashunt {

// Where the ticket of a call (its permit) comes from, and so whether an earlier try can have used it.
enum class permit_origin {
    Minted, // Created by this node for this call: no earlier try can have used it.
    Received, // From the caller or from a claim in the store: earlier tries may have used it.
};

// What is sent with an attempt.
struct attempt_start {
    // 1 for the first attempt.
    std::uint32_t attempt = 0;
    // Retry tokens for the attempt and all calls made on its behalf.
    std::uint32_t tokens = 0;
};

// The result of an attempt.
struct attempt_result {
    verdict outcome;
    // Retry tokens returned with the answer.
    std::uint32_t tokens = 0;
    // The next use number of the ticket that its home accepts.
    std::uint32_t nextUse = 0;
    // Whether the call's shedding position is below the cut returned with the answer.
    // If so, every other server sheds the call, too.
    bool belowCut = false;
    // Replaces the call's ticket from now on: the home of that ticket can run no more calls and handed it over.
    std::optional<ticket> successor = std::nullopt;
};

// Tracks the attempts of one call: decides whether another attempt may follow and what
// the caller is told of the whole call. Retry tokens are conserved, a ticket is used at
// one home only, and "not run" is reported only if no attempt ran or can still run.
class call_progress {
public:
    call_progress() = default;
    // earlierMayHaveRun: whether an earlier try by the caller may have run.
    call_progress(bool idempotent, std::uint32_t tokens, bool earlierMayHaveRun);

    // The ticket for the next attempt, which may then go to the ticket's home only.
    const std::optional<ticket>& permit() const { return m_permit; }
    bool needsPermit() const { return !m_idempotent && !m_permit; }
    void setPermit(const ticket&, permit_origin);

    // The request's claim has been read from the store. Every earlier try used the ticket
    // that the claim names, so the ticket's home knows whether any of them ran.
    void setClaimKnown() { m_earlierMayHaveRun = false; }

    // Whether an earlier try by the caller may have run and there is no ticket or claim to find out.
    bool mustNotRun() const { return needsPermit() && m_earlierMayHaveRun; }

    // Members that were tried already; the router avoids them.
    const std::vector<std::uint64_t>& tried() const { return m_tried; }

    attempt_start begin(std::uint64_t memberId);
    void finished(const attempt_result&);

    // The attempt was given up without a result.
    void abandoned();

    // Whether another attempt may follow the last one; retry() spends the token for it.
    bool mayRetry(std::chrono::steady_clock::time_point deadline, std::chrono::steady_clock::time_point now) const;
    // Whether the next attempt repeats the call with the ticket's next use number or at the home
    // of its successor. This costs no retry token, since the home answered that it ran nothing.
    bool repeatsUse() const { return m_repeatsUse; }
    void retry();

    // What the caller is told of the whole call after the last attempt.
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
