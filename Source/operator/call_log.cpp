#include "operator/call_log.h"

#include "events/event_catalogue.h"

namespace vanillashunt {

void call_log::observe(const call_observation& seen)
{
    if (seen.decision == call_decision::Rejected) {
        write(isShed(seen.outcome.reason) ? events::callShed : events::callRejected, seen);
    }
    if (seen.decision == call_decision::Retry) {
        write(events::attemptRepeated, seen);
    }
    if (seen.decision == call_decision::AttemptFailed) {
        write(events::attemptFailed, seen);
    }
    if (seen.decision != call_decision::Finished) {
        return;
    }
    if (seen.outcome.run == execution::NotRun) {
        write(events::requestRefused, seen);
    } else if (seen.outcome.run == execution::MayHaveRun) {
        write(events::requestUnknown, seen);
    }
}

void call_log::write(const event& what, const call_observation& seen)
{
    auto leftOut = m_limiter.take(what, seen.now);
    if (!leftOut) {
        return;
    }
    logEvent(what, { { "request_id", seen.context.requestId }, { "customer", seen.context.organisation }, { "class", seen.context.requestClass }, { "verdict", toString(seen.outcome.run) }, { "reason", toString(seen.outcome.reason) }, { "detail", seen.detail }, { "status", std::to_string(seen.status) }, { "elapsed_us", std::to_string(seen.duration.count()) }, { "position", std::to_string(seen.context.position) }, { "cut", std::to_string(seen.inputs.cut) }, { "cut_age_ms", std::to_string(seen.inputs.cutAge.count()) }, { "version", std::to_string(seen.inputs.version) }, { "content", toString(seen.context.content) }, { "left_out", std::to_string(*leftOut) } });
}

}
