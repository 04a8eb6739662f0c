#include "routing/router.h"

#include "decision/rendezvous.h"
#include "routing/expected_time.h"

#include <algorithm>
#include <limits>
#include <map>

namespace vanillashunt {

namespace {

    constexpr int farthest = 2;

    // From this load on a nearer member is full, and farther ones are looked at.
    constexpr double fullLoad = 0.9;

    // A farther member must be less loaded by this much to be worth the way.
    constexpr double spillAdvantage = 0.2;

    // A farther member must save more calls to other zones than this, beside the one to
    // itself, and must have room: bytes between zones cost money, and each way there time.
    constexpr double crossingsWorthTheWay = 0.5;
    constexpr double roomyLoad = 0.75;

    constexpr std::uint64_t chanceSteps = 1024;
    constexpr std::uint64_t capacitySteps = 1U << 20U;

    // One call in so many goes to the target that was drawn first, however slow: what it tells is
    // how it is found well again.
    constexpr std::uint64_t tricklePart = 16;

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

router::router(node_location place, chance_hook chance)
    : m_place(std::move(place))
    , m_chance(std::move(chance))
    , m_members(std::make_shared<std::vector<member>>())
{
}

void router::setMembers(member_list members, std::chrono::steady_clock::time_point)
{
    m_members = std::move(members);
    m_byService.clear();
    m_byId.clear();
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
    if (target.availabilityZone == m_place.availabilityZone) {
        return 0;
    }
    return target.region == m_place.region ? 1 : farthest;
}

std::vector<router::candidate> router::candidatesAt(int wanted, bool avoided, const route_request& request, std::chrono::steady_clock::time_point now) const
{
    std::vector<candidate> result;
    auto found = m_byService.find(request.service);
    if (found == m_byService.end()) {
        return result;
    }
    for (const auto* target : found->second) {
        bool taking = target->state == member_state::Alive || target->state == member_state::Suspect;
        if (!taking || distance(*target) != wanted || contains(request.tried, target->id)) {
            continue;
        }
        auto view = m_views.find(target->id);
        if (view != m_views.end() && view->second.outOfReach()) {
            continue;
        }
        bool isAvoided = target->state == member_state::Suspect || !target->reachable || (view != m_views.end() && (view->second.avoided(now) || view->second.silent(now)));
        if (isAvoided != avoided) {
            continue;
        }
        bool known = view != m_views.end();
        double crossings = (wanted == 0 ? 0 : 1) + (known ? view->second.zoneCrossings(now) : 0);
        candidate each;
        each.target = target;
        each.load = known ? view->second.load(target->slots, now) : 0;
        each.zoneCrossings = crossings;
        each.pace = known ? view->second.pace() : std::nullopt;
        each.limit = known ? view->second.limit(target->slots) : std::max(target->slots, 1U);
        result.push_back(each);
    }
    return result;
}

// The servers of one zone have the same zones around them, so that the mean of what they
// reported counts for each. Leaves the zones with the fewest calls to others, among
// those that have room.
void router::keepFewestCrossings(std::vector<candidate>& from)
{
    auto fewer = [](const candidate& a, const candidate& b) { return a.zoneCrossings < b.zoneCrossings; };
    auto [least, most] = std::minmax_element(from.begin(), from.end(), fewer);
    if (from.empty() || most->zoneCrossings - least->zoneCrossings <= crossingsWorthTheWay) {
        return;
    }
    std::map<std::string, zone_mean> zones;
    for (const auto& each : from) {
        auto& zone = zones[each.target->availabilityZone];
        zone.sum += each.zoneCrossings;
        ++zone.members;
    }
    double fewest = std::numeric_limits<double>::max();
    for (auto& each : from) {
        each.zoneCrossings = zones.at(each.target->availabilityZone).get();
        fewest = each.load < roomyLoad ? std::min(fewest, each.zoneCrossings) : fewest;
    }
    auto tooMany = [fewest](const candidate& each) { return each.zoneCrossings > fewest + crossingsWorthTheWay; };
    auto first = std::remove_if(from.begin(), from.end(), tooMany);
    if (first != from.begin()) {
        from.erase(first, from.end());
    }
}

const router::candidate& router::drawByCapacity(const std::vector<candidate>& from) const
{
    double all = 0;
    for (const auto& each : from) {
        all += each.limit / each.pace.value_or(1);
    }
    auto place = all * static_cast<double>(m_chance(capacitySteps)) / capacitySteps;
    for (const auto& each : from) {
        place -= each.limit / each.pace.value_or(1);
        if (place < 0) {
            return each;
        }
    }
    return from.back();
}

// With old news of the loads the fastest would get nearly all calls, also when they are full:
// then only the drawing tells the targets apart.
std::optional<router::candidate> router::drawTwo(const std::vector<candidate>& from, bool hasRoom) const
{
    if (from.empty()) {
        return std::nullopt;
    }
    bool tellPace = std::any_of(from.begin(), from.end(), [](const candidate& each) { return each.pace.has_value(); });
    if (tellPace && from.size() > 1) {
        const auto& first = drawByCapacity(from);
        const auto& second = drawByCapacity(from);
        if (!hasRoom) {
            return second.load < first.load ? second : first;
        }
        if (m_chance(tricklePart) == 0) {
            return first;
        }
        auto timeAt = [](const candidate& each) { return expectedTime(each.pace.value_or(1), each.load, each.limit); };
        return timeAt(second) < timeAt(first) ? second : first;
    }
    const auto& first = from[m_chance(from.size())];
    if (from.size() == 1) {
        return first;
    }
    const auto& second = from[m_chance(from.size())];
    return second.load < first.load ? second : first;
}

std::optional<router::candidate> router::chooseNearest(bool avoided, const route_request& request, std::chrono::steady_clock::time_point now) const
{
    std::optional<candidate> best;
    for (int wanted = 0; wanted <= farthest; ++wanted) {
        auto candidates = candidatesAt(wanted, avoided, request, now);
        keepFewestCrossings(candidates);
        auto drawn = drawTwo(candidates, request.hasRoom);
        if (!drawn) {
            continue;
        }
        bool hasRoom = !best || drawn->load + spillAdvantage < best->load;
        bool savesCrossings = best && drawn->load < roomyLoad && drawn->zoneCrossings + crossingsWorthTheWay < best->zoneCrossings;
        if (hasRoom || savesCrossings) {
            best = drawn;
        }
        if (best->load < fullLoad && best->zoneCrossings <= 1 + crossingsWorthTheWay) {
            break;
        }
    }
    return best;
}

std::optional<member> router::choose(const route_request& request, std::chrono::steady_clock::time_point now)
{
    auto chosen = chooseNearest(false, request, now);
    if (!chosen) {
        // A member that failed a moment ago, or whose zone did not answer, is better than none.
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
    for (const auto* each : found->second) {
        if (each->state == member_state::Alive && each->reachable) {
            candidates.push_back(each->id);
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
    return view != m_views.end() && view->second.toldLoadLately(now) && !view->second.pace();
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
    auto chance = static_cast<double>(m_chance(chanceSteps)) / chanceSteps;
    m_views[memberId].finished(outcome, chance, now);
}

void router::cancelled(std::uint64_t memberId, std::chrono::steady_clock::time_point)
{
    auto found = m_views.find(memberId);
    if (found != m_views.end()) {
        found->second.cancelled();
    }
}

}
