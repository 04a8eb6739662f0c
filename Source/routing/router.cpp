#include "routing/router.h"

#include "decision/rendezvous.h"
#include "routing/expected_response_time.h"

#include <algorithm>
#include <limits>
#include <map>

namespace vanillashunt {

namespace {

    constexpr int maxDistance = 2;

    // From this load on a near member counts as full, and members farther away are considered.
    constexpr double fullLoad = 0.9;

    // The load of a farther member must be lower by this much to justify the longer way.
    constexpr double minLoadAdvantage = 0.2;

    // A farther member must save more calls to other zones than this, in addition to the call to the
    // member itself, and must have a load below spareCapacityLoad. Traffic between zones costs
    // money, and each call to another zone takes longer.
    constexpr double minCrossingsSaved = 0.5;
    constexpr double spareCapacityLoad = 0.75;

    constexpr std::uint64_t probabilitySteps = 1024;
    constexpr std::uint64_t capacityDrawSteps = 1U << 20U;

    // One call in this many goes to the target that is drawn first, however slow it is. Its answers
    // show when a slow target has recovered.
    constexpr std::uint64_t probeInterval = 16;

    struct zone_mean {
        double sum = 0;
        int members = 0;

        double get() const { return sum / members; }
    };

    bool contains(const std::vector<std::uint64_t>& ids, std::uint64_t id)
    {
        return std::find(ids.begin(), ids.end(), id) != ids.end();
    }

}

router::router(node_location location, random_function random)
    : m_location(std::move(location))
    , m_random(std::move(random))
    , m_members(std::make_shared<std::vector<member>>())
{
}

void router::setMembers(member_list members, std::chrono::steady_clock::time_point)
{
    for (const auto& entry : *members) {
        auto view = m_views.find(entry.id);
        auto known = m_byId.find(entry.id);
        if (view != m_views.end() && known != m_byId.end() && known->second->slots != entry.slots) {
            view->second.forgetRateLimit();
        }
    }
    m_byService.clear();
    m_byId.clear();
    m_members = std::move(members);
    for (const auto& entry : *m_members) {
        m_byId[entry.id] = &entry;
        if (!entry.service.empty()) {
            m_byService[entry.service].push_back(&entry);
        }
    }
    for (auto view = m_views.begin(); view != m_views.end();) {
        bool keep = m_byId.count(view->first) != 0 || view->second.outstanding() != 0;
        view = keep ? std::next(view) : m_views.erase(view);
    }
}

int router::distance(const member& target) const
{
    if (target.availabilityZone == m_location.availabilityZone) {
        return 0;
    }
    return target.region == m_location.region ? 1 : maxDistance;
}

std::vector<router::candidate> router::candidatesAt(int wantedDistance, bool wantAvoided, const route_request& request, std::chrono::steady_clock::time_point now) const
{
    std::vector<candidate> result;
    auto found = m_byService.find(request.service);
    if (found == m_byService.end()) {
        return result;
    }
    for (const auto* target : found->second) {
        bool acceptsCalls = target->state == member_state::Alive || target->state == member_state::Suspect;
        if (!acceptsCalls || distance(*target) != wantedDistance || contains(request.tried, target->id)) {
            continue;
        }
        auto view = m_views.find(target->id);
        if (view != m_views.end() && view->second.isUnreachable()) {
            continue;
        }
        bool isAvoided = target->state == member_state::Suspect || !target->reachable || (view != m_views.end() && (view->second.isAvoided(now) || view->second.isUnresponsive(now)));
        if (isAvoided != wantAvoided) {
            continue;
        }
        bool hasView = view != m_views.end();
        double crossings = (wantedDistance == 0 ? 0 : 1) + (hasView ? view->second.zoneCrossings(now) : 0);
        candidate option;
        option.target = target;
        option.load = hasView ? view->second.load(target->slots, now) : 0;
        option.zoneCrossings = crossings;
        option.pace = hasView ? view->second.pace() : std::nullopt;
        option.limit = hasView ? view->second.limit(target->slots) : std::max(target->slots, 1U);
        option.isRateLimited = hasView && view->second.isRateLimited();
        result.push_back(option);
    }
    return result;
}

// Keeps the candidates of the zones with the fewest calls to other zones, among those with spare
// capacity. The servers of one zone have the same surrounding zones, so each of them is assigned
// the mean of their reports.
void router::keepFewestCrossings(std::vector<candidate>& candidates)
{
    auto fewer = [](const candidate& a, const candidate& b) { return a.zoneCrossings < b.zoneCrossings; };
    auto [least, most] = std::minmax_element(candidates.begin(), candidates.end(), fewer);
    if (candidates.empty() || most->zoneCrossings - least->zoneCrossings <= minCrossingsSaved) {
        return;
    }
    std::map<std::string, zone_mean> zones;
    for (const auto& option : candidates) {
        auto& zone = zones[option.target->availabilityZone];
        zone.sum += option.zoneCrossings;
        ++zone.members;
    }
    double fewest = std::numeric_limits<double>::max();
    for (auto& option : candidates) {
        option.zoneCrossings = zones.at(option.target->availabilityZone).get();
        fewest = option.load < spareCapacityLoad ? std::min(fewest, option.zoneCrossings) : fewest;
    }
    auto tooMany = [fewest](const candidate& option) { return option.zoneCrossings > fewest + minCrossingsSaved; };
    auto first = std::remove_if(candidates.begin(), candidates.end(), tooMany);
    if (first != candidates.begin()) {
        candidates.erase(first, candidates.end());
    }
}

const router::candidate& router::drawByCapacity(const std::vector<candidate>& candidates) const
{
    double totalCapacity = 0;
    for (const auto& option : candidates) {
        totalCapacity += option.limit / option.pace.value_or(1);
    }
    auto position = totalCapacity * static_cast<double>(m_random(capacityDrawSteps)) / capacityDrawSteps;
    for (const auto& option : candidates) {
        position -= option.limit / option.pace.value_or(1);
        if (position < 0) {
            return option;
        }
    }
    return candidates.back();
}

// Without free slots only the draw favours faster targets: with outdated load reports a comparison
// of response times would send nearly all calls to the fastest targets, even if they are full.
std::optional<router::candidate> router::chooseBetterOfTwo(const std::vector<candidate>& candidates, bool hasFreeSlots) const
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    bool reportsPace = std::any_of(candidates.begin(), candidates.end(), [](const candidate& option) { return option.pace.has_value(); });
    bool hasRateLimits = std::any_of(candidates.begin(), candidates.end(), [](const candidate& option) { return option.isRateLimited; });
    if ((reportsPace || hasRateLimits) && candidates.size() > 1) {
        const auto& first = drawByCapacity(candidates);
        const auto& second = drawByCapacity(candidates);
        if (!reportsPace || !hasFreeSlots) {
            return second.load < first.load ? second : first;
        }
        if (m_random(probeInterval) == 0) {
            return first;
        }
        auto responseTimeAt = [](const candidate& option) { return expectedResponseTime(option.pace.value_or(1), option.load, option.limit); };
        return responseTimeAt(second) < responseTimeAt(first) ? second : first;
    }
    const auto& first = candidates[m_random(candidates.size())];
    if (candidates.size() == 1) {
        return first;
    }
    const auto& second = candidates[m_random(candidates.size())];
    return second.load < first.load ? second : first;
}

std::optional<router::candidate> router::chooseNearest(bool wantAvoided, const route_request& request, std::chrono::steady_clock::time_point now) const
{
    std::optional<candidate> best;
    for (int wantedDistance = 0; wantedDistance <= maxDistance; ++wantedDistance) {
        auto candidates = candidatesAt(wantedDistance, wantAvoided, request, now);
        keepFewestCrossings(candidates);
        auto drawn = chooseBetterOfTwo(candidates, request.hasFreeSlots);
        if (!drawn) {
            continue;
        }
        bool isLessLoaded = !best || drawn->load + minLoadAdvantage < best->load;
        bool savesCrossings = best && drawn->load < spareCapacityLoad && drawn->zoneCrossings + minCrossingsSaved < best->zoneCrossings;
        if (isLessLoaded || savesCrossings) {
            best = drawn;
        }
        if (best->load < fullLoad && best->zoneCrossings <= 1 + minCrossingsSaved) {
            break;
        }
    }
    return best;
}

std::optional<member> router::choose(const route_request& request, std::chrono::steady_clock::time_point now)
{
    auto chosen = chooseNearest(false, request, now);
    if (!chosen) {
        // A member that failed recently or whose zone cannot be reached is better than none.
        chosen = chooseNearest(true, request, now);
    }
    if (!chosen) {
        return std::nullopt;
    }
    return *chosen->target;
}

std::optional<member> router::chooseByKey(const std::string& service, std::uint64_t key) const
{
    auto found = m_byService.find(service);
    if (found == m_byService.end()) {
        return std::nullopt;
    }
    std::vector<std::uint64_t> candidates;
    for (const auto* memberEntry : found->second) {
        if (memberEntry->state == member_state::Alive && memberEntry->reachable) {
            candidates.push_back(memberEntry->id);
        }
    }
    auto first = rendezvousFirst(candidates, key);
    return first ? find(*first) : std::nullopt;
}

std::optional<member> router::find(std::uint64_t memberId) const
{
    auto found = m_byId.find(memberId);
    if (found == m_byId.end()) {
        return std::nullopt;
    }
    return *found->second;
}

bool router::reliesOnRecentLoad(std::uint64_t memberId, std::chrono::steady_clock::time_point now) const
{
    auto view = m_views.find(memberId);
    return view != m_views.end() && view->second.hasRecentLoad(now) && !view->second.pace() && !view->second.isRateLimited();
}

std::vector<target_status> router::targetStatuses(std::chrono::steady_clock::time_point now) const
{
    std::vector<target_status> result;
    for (const auto& [id, view] : m_views) {
        auto found = m_byId.find(id);
        if (found == m_byId.end()) {
            continue;
        }
        const auto& target = *found->second;
        result.push_back({ target.name, target.service, view.load(target.slots, now), view.limit(target.slots), view.pace() });
    }
    return result;
}

bool router::knowsService(const std::string& service) const
{
    return m_byService.count(service) != 0;
}

void router::started(std::uint64_t memberId, std::chrono::steady_clock::time_point now)
{
    m_views[memberId].started(now);
}

void router::finished(std::uint64_t memberId, const route_outcome& outcome, std::chrono::steady_clock::time_point now)
{
    auto randomFraction = static_cast<double>(m_random(probabilitySteps)) / probabilitySteps;
    m_views[memberId].finished(outcome, randomFraction, now);
}

void router::cancelled(std::uint64_t memberId, std::chrono::steady_clock::time_point)
{
    auto found = m_views.find(memberId);
    if (found != m_views.end()) {
        found->second.cancelled();
    }
}

}
