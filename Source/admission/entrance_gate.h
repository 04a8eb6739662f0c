#pragma once

#include "admission/admission_policy.h"
#include "admission/cut_memory.h"
#include "admission/min_service_times.h"
#include "decision/shedding_position.h"
#include "decision/verdict.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace vanillashunt {

// A top-level request that enters at this node.
struct entrance_request {
    std::string organisation;
    std::string requestClass;
    shedding_position position = 0;
    std::chrono::steady_clock::time_point deadline;
};

struct entrance_settings {
    admission_policy policy = admission_policy::Full;
    // Returns a random number below its argument.
    std::function<std::uint64_t(std::uint64_t bound)> randomBelow;
};

// Requests since the gate was created, for the dump and the metrics.
struct entrance_counters {
    std::uint64_t refusedBelowCut = 0;
    std::uint64_t refusedTooShort = 0;
    std::uint64_t probes = 0;
};

struct entrance_decision {
    // The cut recorded for the organisation and class of the request; 0 if unknown.
    remembered_cut cut;
    // Nothing if the request is admitted.
    std::optional<verdict> refusal;
};

// Refuses top-level requests at the entrance, before any work is done for them, if the
// deepest service would shed them or if they cannot finish in time. Each pair of
// organisation and class is evaluated separately, because it has its own call chain and,
// by the organisation's share, its own cut.
class entrance_gate {
public:
    explicit entrance_gate(entrance_settings);

    entrance_decision evaluate(const entrance_request&, std::chrono::steady_clock::time_point now);

    // Like evaluate, but returns only the refusal.
    std::optional<verdict> refusal(const entrance_request& request, std::chrono::steady_clock::time_point now) { return evaluate(request, now).refusal; }

    // Records the cut and the retry delay that an answer of the call chain carried.
    void recordCut(const entrance_request&, const remembered_cut&, std::chrono::steady_clock::time_point now);

    // Records the duration of an answered top-level request.
    void recordDuration(const entrance_request&, std::chrono::microseconds, std::chrono::steady_clock::time_point now);

    const entrance_counters& counters() const { return m_counters; }
    std::size_t rememberedCuts() const { return m_cuts.size(); }

private:
    std::optional<verdict> refusalFor(const remembered_cut&, const std::string& key, const entrance_request&, std::chrono::steady_clock::time_point now);
    bool isProbe(shedding_position, shedding_position cut);

    entrance_settings m_settings;
    cut_memory m_cuts;
    min_service_times m_minServiceTimes;
    entrance_counters m_counters;
};

}
