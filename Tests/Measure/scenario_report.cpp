#include "Measure/scenario_report.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <stdexcept>
#include <unordered_map>
#include <unordered_set>

namespace vanillashunt {

namespace {

    using std::chrono::milliseconds;

    constexpr double recoveredPart = 0.99;
    constexpr milliseconds recoveryWindow { 1000 };
    constexpr milliseconds recoveryStep { 100 };
    constexpr milliseconds orderWindow { 100 };

    // How the requests of one importance fared in the surge.
    struct tally {
        std::size_t offered = 0;
        std::size_t whole = 0;
        std::size_t refused = 0;
    };

    bool isShed(const std::string& reason)
    {
        return reason == "overload" || reason == "over_share";
    }

    bool inSurge(const scenario_run& run, milliseconds at)
    {
        return std::any_of(run.surges.begin(), run.surges.end(), [at](const time_window& surge) { return at >= surge.begin && at < surge.end; });
    }

    double surgeSeconds(const scenario_run& run)
    {
        double total = 0;
        for (const auto& surge : run.surges) {
            total += std::chrono::duration<double>(surge.end - surge.begin).count();
        }
        return total;
    }

    double percentile(std::vector<double> values, double part)
    {
        if (values.empty()) {
            return 0;
        }
        std::sort(values.begin(), values.end());
        return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
    }

    const request_plan& planOf(const scenario& what, const request_record& request)
    {
        for (const auto& plan : what.plan.requests) {
            if (plan.name == request.name) {
                return plan;
            }
        }
        throw std::runtime_error("the plan has no request " + request.name);
    }

    std::vector<request_promise> promises(const mesh_plan& plan)
    {
        std::vector<request_promise> result;
        for (const auto& request : plan.requests) {
            result.push_back({ request.name, request.service, request.idempotent });
        }
        return result;
    }

    // Confirmed requests that were shed while something lesser began to run within
    // the window; without the time of each refusal the whole life of the request
    // counts, which can only count too many.
    std::size_t orderViolations(const scenario& what, const scenario_run& run)
    {
        std::unordered_map<std::string, bool> isLesser;
        for (const auto& request : run.requests) {
            isLesser[request.nonce] = planOf(what, request).importance != "confirmed";
        }
        std::vector<milliseconds> lesserStarts;
        for (const auto& each : run.runs) {
            auto lesser = isLesser.find(each.nonce);
            if (lesser != isLesser.end() && lesser->second && each.didWork()) {
                lesserStarts.push_back(std::chrono::duration_cast<milliseconds>(each.start - run.started));
            }
        }
        std::sort(lesserStarts.begin(), lesserStarts.end());
        std::size_t count = 0;
        for (const auto& request : run.requests) {
            // A call that was shed below shows at the client as a failed answer.
            bool failedBelow = !request.whole && !request.reasons.empty() && request.reasons.back() == "answered";
            bool shed = failedBelow || std::any_of(request.reasons.begin(), request.reasons.end(), isShed);
            if (planOf(what, request).importance != "confirmed" || !shed) {
                continue;
            }
            auto begin = std::lower_bound(lesserStarts.begin(), lesserStarts.end(), request.sent - orderWindow);
            bool admittedLesser = begin != lesserStarts.end() && *begin <= request.sent + request.latency + orderWindow;
            count += admittedLesser ? 1 : 0;
        }
        return count;
    }

    // Part of the backend servers' time that went to requests that failed.
    double wastedShare(const scenario_run& run)
    {
        std::unordered_set<std::string> answered;
        for (const auto& request : run.requests) {
            if (request.whole) {
                answered.insert(request.nonce);
            }
        }
        double total = 0;
        double wasted = 0;
        for (const auto& each : run.runs) {
            auto time = static_cast<double>(each.length.count());
            total += time;
            wasted += answered.count(each.nonce) != 0 ? 0 : time;
        }
        return total > 0 ? wasted / total : 0;
    }

    // From the end of a surge until 99% of the requests sent within each later
    // second are whole; null if never.
    Json::Value recoverySeconds(const scenario_run& run)
    {
        Json::Value worst = 0.0;
        for (std::size_t i = 0; i < run.surges.size(); ++i) {
            auto end = run.surges[i].end;
            auto until = i + 1 < run.surges.size() ? run.surges[i + 1].begin : run.length;
            std::optional<milliseconds> lastBad;
            for (auto at = end; at + recoveryWindow <= until; at += recoveryStep) {
                std::size_t sent = 0;
                std::size_t whole = 0;
                for (const auto& request : run.requests) {
                    bool inside = request.sent >= at && request.sent < at + recoveryWindow;
                    sent += inside ? 1 : 0;
                    whole += inside && request.whole ? 1 : 0;
                }
                if (static_cast<double>(whole) < recoveredPart * static_cast<double>(sent)) {
                    lastBad = at;
                }
            }
            if (!lastBad) {
                continue;
            }
            auto recovered = *lastBad + recoveryStep;
            if (recovered + recoveryWindow > until) {
                return {};
            }
            worst = std::max(worst.asDouble(), std::chrono::duration<double>(recovered - end).count());
        }
        return worst;
    }

}

Json::Value reportRun(const scenario& what, const scenario_run& run, const std::string& policy, double capacity, std::uint64_t seed)
{
    std::map<std::string, tally> byImportance;
    std::map<std::string, std::size_t> verdicts;
    std::vector<double> latencies;
    // The last reason of those that were not answered, by importance.
    std::map<std::string, std::map<std::string, std::size_t>> reasons;
    auto audit = auditRuns(promises(what.plan), run.requests, run.runs);
    for (const auto& request : run.requests) {
        auto last = request.verdicts.empty() || request.verdicts.back().empty() ? "none" : request.verdicts.back();
        ++verdicts[last];
        if (!inSurge(run, request.sent)) {
            continue;
        }
        auto& mine = byImportance[planOf(what, request).importance];
        ++mine.offered;
        mine.whole += request.whole ? 1 : 0;
        mine.refused += !request.whole && request.toldNotRun() ? 1 : 0;
        if (!request.whole) {
            ++reasons[planOf(what, request).importance][request.reasons.empty() ? "none" : request.reasons.back()];
        }
        if (request.whole) {
            latencies.push_back(static_cast<double>(request.latency.count()));
        }
    }
    // A call's attempts are numbered by the node that makes them.
    unsigned long retriesMax = 0;
    for (const auto& each : run.runs) {
        retriesMax = std::max(retriesMax, each.attempt);
    }

    Json::Value report;
    report["scenario"] = what.name;
    report["policy"] = policy;
    report["load"] = what.load;
    report["seed"] = Json::UInt64(seed);
    report["scale"] = what.plan.scale;
    report["capacity"] = capacity;
    report["offered"] = run.offered;
    double goodput = 0;
    for (const auto& [importance, mine] : byImportance) {
        auto perSecond = static_cast<double>(mine.whole) / surgeSeconds(run);
        goodput += perSecond;
        report["goodput_by_importance"][importance] = perSecond;
        report["answered_by_importance"][importance] = static_cast<double>(mine.whole) / static_cast<double>(mine.offered);
        report["refused_by_importance"][importance] = static_cast<double>(mine.refused) / static_cast<double>(mine.offered);
    }
    report["goodput"] = goodput;
    for (const auto& [verdict, count] : verdicts) {
        report["verdicts"][verdict] = Json::UInt64(count);
    }
    for (const auto& [importance, counts] : reasons) {
        for (const auto& [reason, count] : counts) {
            report["unanswered_reasons"][importance][reason.empty() ? "none" : reason] = Json::UInt64(count);
        }
    }
    report["order_violations"] = Json::UInt64(orderViolations(what, run));
    report["retries_max"] = Json::UInt64(retriesMax > 0 ? retriesMax - 1 : 0);
    report["retries_bound"] = what.plan.retries;
    report["double_runs"] = Json::UInt64(audit.doubleRuns);
    report["false_not_run"] = Json::UInt64(audit.falseNotRun);
    report["wrong_answers"] = Json::UInt64(audit.wrongAnswers);
    report["wasted_share"] = wastedShare(run);
    report["recovery_seconds"] = recoverySeconds(run);
    report["latency_ms"]["p50"] = percentile(latencies, 0.5);
    report["latency_ms"]["p99"] = percentile(latencies, 0.99);
    return report;
}

std::string tableHead()
{
    return "scenario             policy  load capacity goodput confirmed recovery wasted order double false wrong   p99\n";
}

std::string tableLine(const Json::Value& report)
{
    char line[256];
    auto recovery = report["recovery_seconds"].isNull() ? std::string("never") : std::to_string(report["recovery_seconds"].asDouble()).substr(0, 4);
    std::snprintf(line, sizeof line, "%-20s %-6s %5.1f %8.0f %7.0f %9.4f %8s %6.3f %5d %6d %5d %5d %5.0f\n",
        report["scenario"].asCString(), report["policy"].asCString(), report["load"].asDouble(), report["capacity"].asDouble(),
        report["goodput"].asDouble(), report["answered_by_importance"]["confirmed"].asDouble(), recovery.c_str(),
        report["wasted_share"].asDouble(), report["order_violations"].asInt(), report["double_runs"].asInt(),
        report["false_not_run"].asInt(), report["wrong_answers"].asInt(), report["latency_ms"]["p99"].asDouble());
    return line;
}

}
