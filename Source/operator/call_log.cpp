#include "operator/call_log.h"

#include "events/event_catalogue.h"

namespace vanillashunt {

void call_log::observe(const call_observation& seen)
{
    if (seen.decision == call_decision::Rejected && isShed(seen.outcome.reason)) {
        write(events::callShed, seen);
    }
    if (seen.decision != call_decision::Finished || !seen.whole) {
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
    logEvent(what, { { "request_id", seen.context.requestId }, { "customer", seen.context.customer }, { "class", seen.context.requestClass }, { "reason", toString(seen.outcome.reason) }, { "left_out", std::to_string(*leftOut) } });
}

}
