#include "decision/call_progress.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    // Whether a retry cannot succeed. A call that one server sheds because of its position is
    // shed by all of them, and a deadline that has passed stays passed. A server that had no
    // room for a call at or above its cut says nothing about the other servers.
    bool isFinal(verdict_reason reason, bool belowCut)
    {
        switch (reason) {
        case verdict_reason::Overload:
            return belowCut;
        case verdict_reason::OverShare:
        case verdict_reason::DeadlinePassed:
        case verdict_reason::DeadlineTooShort:
        case verdict_reason::Malformed:
        case verdict_reason::TooLarge:
        case verdict_reason::CallerGone:
        case verdict_reason::TicketUnknown:
        case verdict_reason::AnswerNotKept:
            return true;
        default:
            return false;
        }
    }

}

call_progress::call_progress(bool idempotent, std::uint32_t tokens, bool earlierMayHaveRun)
    : m_idempotent(idempotent)
    , m_earlierMayHaveRun(earlierMayHaveRun)
    , m_tokens(tokens)
{
}

void call_progress::setPermit(const ticket& permit, permit_origin origin)
{
    m_permit = permit;
    m_origin = origin;
}

attempt_start call_progress::begin(std::uint64_t memberId)
{
    // Keeps half of the tokens, for a retry if the answer is lost together with the tokens
    // that it returns.
    m_tokensSent = (m_tokens + 1) / 2;
    m_tokens -= m_tokensSent;
    m_repeatsUse = false;
    m_tried.push_back(memberId);
    return { ++m_attempts, m_tokensSent };
}

void call_progress::finished(const attempt_result& result)
{
    m_last = result.outcome;
    m_belowCut = result.belowCut;
    bool neverSent = result.outcome.reason == verdict_reason::PeerUnreachable;
    m_tokens += neverSent ? m_tokensSent : std::min(result.tokens, m_tokensSent);
    m_tokensSent = 0;
    bool mayBeUsedElsewhere = m_origin == permit_origin::Received || result.outcome.run == execution::MayHaveRun;
    if (result.successor && m_permit && mayBeUsedElsewhere) {
        handedOver(result);
        return;
    }
    if (result.outcome.run == execution::MayHaveRun) {
        m_attemptMayHaveRun = true;
        return;
    }
    if (result.outcome.run == execution::NotRun && m_permit) {
        refused(result);
    }
}

void call_progress::refused(const attempt_result& result)
{
    if (result.outcome.reason == verdict_reason::PeerUnreachable) {
        // The home was not reached, so it is still unknown whether the ticket ran before.
        if (m_origin == permit_origin::Received) {
            m_attemptMayHaveRun = true;
        } else if (!m_attemptMayHaveRun) {
            m_permit.reset();
        }
        return;
    }
    // The home itself reports that nothing ran, and invalidates this use number.
    m_attemptMayHaveRun = false;
    if (m_origin == permit_origin::Minted) {
        m_permit.reset();
        return;
    }
    m_earlierMayHaveRun = false;
    m_permit->use = result.nextUse;
    if (result.outcome.reason == verdict_reason::TicketNeeded) {
        repeatUse();
    }
}

// The ticket has not run and never will. Another try may have used the successor before, which
// only the successor's home knows.
void call_progress::handedOver(const attempt_result& result)
{
    m_earlierMayHaveRun = false;
    m_attemptMayHaveRun = result.outcome.run == execution::MayHaveRun;
    m_permit = result.successor;
    m_origin = permit_origin::Received;
    repeatUse();
}

// Allowed once per call, so that homes that are all leaving do not redirect it endlessly.
void call_progress::repeatUse()
{
    m_repeatsUse = !m_useRepeated;
    m_useRepeated = true;
}

void call_progress::abandoned()
{
    m_attemptMayHaveRun = true;
    m_tokensSent = 0;
}

bool call_progress::mayRetry(std::chrono::steady_clock::time_point deadline, std::chrono::steady_clock::time_point now) const
{
    if (deadline <= now || m_last.run == execution::Ran) {
        return false;
    }
    if (m_repeatsUse) {
        return true;
    }
    return m_tokens > 0 && !isFinal(m_last.reason, m_belowCut);
}

void call_progress::retry()
{
    if (!m_repeatsUse) {
        --m_tokens;
    }
}

execution call_progress::overall(execution last) const
{
    bool mayHaveRun = m_earlierMayHaveRun || m_attemptMayHaveRun;
    return last == execution::NotRun && mayHaveRun ? execution::MayHaveRun : last;
}

}
