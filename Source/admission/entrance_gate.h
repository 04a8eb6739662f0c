#pragma once

#include "admission/admission_policy.h"
#include "admission/cut_memory.h"
#include "admission/service_times.h"
#include "decision/shedding_position.h"
#include "decision/verdict.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace vanillashunt {

// A whole request that enters here.
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

// Calls since the start, for the dump and the metrics.
struct entrance_counters {
    std::uint64_t refusedBelowCut = 0;
    std::uint64_t refusedTooShort = 0;
    std::uint64_t probes = 0;
};

struct entrance_judgement {
    // The cut that requests like this one meet, as far as it is known.
    remembered_cut cut;
    // Nothing: the request may go on.
    std::optional<verdict> refusal;
};

// Refuses whole requests where they enter, before any work is done for them: what
// the deepest service would shed, and what cannot finish in time. Each organisation
// and class is judged for itself, because it has its own call chain and, by the
// organisation's share, its own cut.
class entrance_gate {
public:
    explicit entrance_gate(entrance_settings);

    entrance_judgement evaluate(const entrance_request&, std::chrono::steady_clock::time_point now);

    // The refusal alone.
    std::optional<verdict> refusal(const entrance_request& request, std::chrono::steady_clock::time_point now) { return evaluate(request, now).refusal; }

    // The cut and the advice that came back with an answer from below.
    void recordCut(const entrance_request&, const remembered_cut&, std::chrono::steady_clock::time_point now);

    // The time that a whole request took that was answered.
    void recordDuration(const entrance_request&, std::chrono::microseconds, std::chrono::steady_clock::time_point now);

    const entrance_counters& counters() const { return m_counters; }
    std::size_t rememberedCuts() const { return m_cuts.size(); }

private:
    std::optional<verdict> judgeBy(const remembered_cut&, const std::string& kind, const entrance_request&, std::chrono::steady_clock::time_point now);
    bool isProbe(shedding_position, shedding_position cut);

    entrance_settings m_settings;
    cut_memory m_cuts;
    service_times m_times;
    entrance_counters m_counters;
};

}
