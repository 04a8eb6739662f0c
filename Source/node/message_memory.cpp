#include "node/message_memory.h"

#include "events/event_catalogue.h"
#include "events/event_limiter.h"

#include <malloc.h>

#include <algorithm>
#include <string>

namespace vanillashunt {

namespace {

    constexpr std::uint32_t maxLinesPerInterval = 4;
    constexpr std::chrono::seconds lineInterval { 10 };

    // Larger blocks are mapped on their own. By default, glibc raises the threshold to the size of the
    // largest block that was released, and then keeps the memory of later ones.
    constexpr int mapThresholdBytes = 1024 * 1024;
    constexpr int trimThresholdBytes = 4 * 1024 * 1024;

    void logRefusal(const byte_refusal& refusal, std::uint64_t budgetBytes, event_limiter& limiter)
    {
        if (auto leftOut = limiter.take(events::messageRefused, std::chrono::steady_clock::now())) {
            logEvent(events::messageRefused, { { "place", toString(refusal.place) }, { "cause", toString(refusal.cause) }, { "held_bytes", std::to_string(refusal.heldBytes) }, { "budget_bytes", std::to_string(budgetBytes) }, { "left_out", std::to_string(*leftOut) } });
        }
    }

}

std::shared_ptr<byte_budget> makeMessageBudget(const node_settings& settings)
{
    mallopt(M_MMAP_THRESHOLD, mapThresholdBytes);
    mallopt(M_TRIM_THRESHOLD, trimThresholdBytes);
    byte_budget_settings budgetSettings;
    budgetSettings.totalBytes = messageBudget(settings.memoryBytes);
    auto budget = std::make_shared<byte_budget>(budgetSettings);
    auto limiter = std::make_shared<event_limiter>(maxLinesPerInterval, lineInterval);
    budget->setRefusalHandler([limiter, budgetBytes = budgetSettings.totalBytes](const byte_refusal& refusal) { logRefusal(refusal, budgetBytes, *limiter); });
    return budget;
}

std::uint64_t largestBody(const node_settings& settings, const byte_budget& budget)
{
    return std::min(settings.maxBodyBytes, budget.maxMessageBytes());
}

Json::Value dumpMessageBudget(const byte_budget& budget)
{
    Json::Value json;
    json["budget_bytes"] = Json::UInt64(budget.totalBytes());
    json["held_bytes"] = Json::UInt64(budget.heldBytes());
    json["growing"] = Json::UInt64(budget.growing());
    json["waiting"] = Json::UInt64(budget.waiting());
    json["waits"] = Json::UInt64(budget.counts().waits);
    for (std::size_t i = 0; i < bytePlaceCount; ++i) {
        auto place = static_cast<byte_place>(i);
        json["held_by_place"][toString(place)] = Json::UInt64(budget.heldBytes(place));
    }
    for (std::size_t i = 0; i < byteRefusalCauseCount; ++i) {
        json["refused"][toString(static_cast<byte_refusal_cause>(i))] = Json::UInt64(budget.counts().refusals.at(i));
    }
    return json;
}

void setBudgetGauges(const byte_budget& budget, node_gauges& gauges)
{
    gauges.messageBudgetBytes = budget.totalBytes();
    for (std::size_t i = 0; i < bytePlaceCount; ++i) {
        gauges.messageBytes.at(i) = budget.heldBytes(static_cast<byte_place>(i));
    }
    gauges.messagesWaiting = budget.waiting();
    gauges.messageWaits = budget.counts().waits;
    gauges.messagesRefused = budget.counts().refusals;
}

}
