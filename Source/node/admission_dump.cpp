#include "node/admission_dump.h"

namespace vanillashunt {

Json::Value dumpGate(const admission_gate& gate)
{
    Json::Value state;
    state["running"] = gate.inFlight();
    state["waiting"] = Json::UInt64(gate.waiting());
    state["limit"] = gate.limit();
    state["slots"] = gate.slots();
    state["cut"] = gate.cut();
    state["drain_per_second"] = gate.drainRate();
    state["service_time_us"] = Json::Int64(gate.serviceTime().count());
    const auto& counters = gate.counters();
    state["admitted"] = Json::UInt64(counters.admitted);
    state["evicted"] = Json::UInt64(counters.evicted);
    for (int index = 0; index < importanceCount; ++index) {
        auto level = static_cast<importance>(index);
        state["waiting_by_importance"][toString(level)] = Json::UInt64(gate.waiting(level));
        state["shed_by_importance"][toString(level)] = Json::UInt64(counters.shed[index]);
    }
    for (int index = 0; index < verdictReasonCount; ++index) {
        if (counters.refused[index] > 0) {
            state["refused_by_reason"][toString(static_cast<verdict_reason>(index))] = Json::UInt64(counters.refused[index]);
        }
    }
    return state;
}

Json::Value dumpEntrance(const entrance_gate& gate)
{
    Json::Value state;
    state["remembered_cuts"] = Json::UInt64(gate.rememberedCuts());
    state["refused_below_cut"] = Json::UInt64(gate.counters().refusedBelowCut);
    state["refused_too_short"] = Json::UInt64(gate.counters().refusedTooShort);
    state["probes"] = Json::UInt64(gate.counters().probes);
    return state;
}

}
