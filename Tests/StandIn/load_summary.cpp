#include "StandIn/load_summary.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    double percentileMilliseconds(std::vector<std::chrono::microseconds> values, double fraction)
    {
        if (values.empty()) {
            return 0;
        }
        auto rank = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
        auto chosen = values.begin() + static_cast<std::ptrdiff_t>(rank);
        std::nth_element(values.begin(), chosen, values.end());
        return std::chrono::duration<double, std::milli>(*chosen).count();
    }

}

void load_summary::add(const load_result& result)
{
    add(m_all, result);
    add(m_byName[result.kind->name], result);
}

void load_summary::add(group& group, const load_result& result)
{
    ++group.offered;
    group.attempts += result.attempts;
    ++group.verdicts[result.verdicts.back()];
    auto index = static_cast<std::size_t>(std::chrono::duration_cast<std::chrono::seconds>(result.sent).count());
    if (group.bySecond.size() <= index) {
        group.bySecond.resize(index + 1);
    }
    ++group.bySecond[index].offered;
    if (result.isWrong) {
        ++group.wrong;
    }
    if (result.status / 100 == 2 && !result.isWhole) {
        ++group.broken;
    }
    if (!result.succeeded()) {
        return;
    }
    ++group.succeeded;
    ++group.bySecond[index].succeeded;
    group.latencies.push_back(result.latency);
}

Json::Value load_summary::toJson(std::chrono::microseconds arrivalTime) const
{
    auto object = toJson(m_all, arrivalTime);
    for (const auto& [name, group] : m_byName) {
        object["by_name"][name] = toJson(group, arrivalTime);
    }
    return object;
}

Json::Value load_summary::toJson(const group& group, std::chrono::microseconds arrivalTime)
{
    Json::Value object;
    object["offered"] = static_cast<Json::UInt64>(group.offered);
    object["succeeded"] = static_cast<Json::UInt64>(group.succeeded);
    object["attempts"] = static_cast<Json::UInt64>(group.attempts);
    object["not_whole"] = static_cast<Json::UInt64>(group.broken);
    object["wrong"] = static_cast<Json::UInt64>(group.wrong);
    object["goodput_per_s"] = static_cast<double>(group.succeeded) / std::chrono::duration<double>(arrivalTime).count();
    object["p50_ms"] = percentileMilliseconds(group.latencies, 0.5);
    object["p99_ms"] = percentileMilliseconds(group.latencies, 0.99);
    for (const auto& [verdict, count] : group.verdicts) {
        object["last_verdicts"][verdict.empty() ? "none" : verdict] = static_cast<Json::UInt64>(count);
    }
    for (const auto& each : group.bySecond) {
        Json::Value entry;
        entry["offered"] = static_cast<Json::UInt64>(each.offered);
        entry["succeeded"] = static_cast<Json::UInt64>(each.succeeded);
        object["by_second"].append(entry);
    }
    return object;
}

}
