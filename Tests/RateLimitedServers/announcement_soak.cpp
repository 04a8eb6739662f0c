#include "RateLimitedServers/announcement_soak.h"

#include <algorithm>
#include <csignal>
#include <limits>

namespace vanillashunt {

namespace {

    using namespace std::chrono_literals;

    constexpr double noLimit = std::numeric_limits<double>::infinity();

    // The platform's bounds.
    constexpr auto stableWindow = 3s;
    constexpr auto limitWindow = 4s;
    constexpr double limitTolerance = 1.5;
    constexpr double limitSlack = 5;
    constexpr auto boundAfter = 500ms;
    constexpr auto drainLimit = 2s;

    // An unreadable text leaves the previous limit in force.
    constexpr double unchanged = -1;

}

const std::vector<announcement_soak::limit_text> announcement_soak::limitTexts { { "0", 0 }, { "0.01", 0.01 }, { "0.5", 0.5 }, { "2", 2 }, { "7.1", 7.1 }, { "30", 30 }, { "many", unchanged }, { "-3", unchanged }, { "", noLimit } };

announcement_soak::announcement_soak(std::uint64_t seed)
    : m_random(seed)
{
    for (std::size_t which : { 0, 1 }) {
        m_limits[which] = noLimit;
        recordLimit(which);
    }
    m_world.sendFrom({ 2, 3 });
}

void announcement_soak::recordLimit(std::size_t which)
{
    auto start = m_world.server(which).seal();
    m_serverOf[start] = which;
    m_announcements[start].push_back({ std::chrono::steady_clock::now(), m_limits[which] });
}

void announcement_soak::announceLimit(std::size_t which)
{
    announceLimit(which, limitTexts[m_random() % limitTexts.size()]);
}

void announcement_soak::announceLimit(std::size_t which, const limit_text& chosen)
{
    m_texts[which] = chosen.text;
    m_world.server(which).announce(chosen.text, false);
    if (chosen.limit != unchanged) {
        m_limits[which] = chosen.limit;
    }
    recordLimit(which);
}

// The next start announces the same, but an unreadable limit means none there.
void announcement_soak::restartServer(std::size_t which)
{
    m_world.server(which).startAgainById();
    bool isUnreadable = std::any_of(limitTexts.begin(), limitTexts.end(), [&](const limit_text& each) { return each.limit == unchanged && each.text == m_texts[which]; });
    if (isUnreadable) {
        m_limits[which] = noLimit;
    }
    recordLimit(which);
    m_world.reportReady(which);
}

void announcement_soak::freeze(std::size_t which)
{
    auto& process = *m_world.node(which).process;
    process.signal(SIGSTOP);
    std::this_thread::sleep_for(std::chrono::milliseconds(100 + m_random() % 900));
    process.signal(SIGCONT);
}

void announcement_soak::takeStoreAway()
{
    m_world.setStoreDown(true);
    std::this_thread::sleep_for(std::chrono::milliseconds(m_random() % 500));
    m_world.setStoreDown(false);
}

// The node is restarted while the server goes on reporting that it is ready; then another start
// takes its place.
void announcement_soak::leave(std::size_t which)
{
    m_world.server(which).announce(m_texts[which], true);
    std::this_thread::sleep_for(drainLimit);
    m_world.reportReady(which);
    m_world.restartNode(which);
    std::this_thread::sleep_for(1s);
    m_world.server(which).announce(m_texts[which], false);
    restartServer(which);
}

void announcement_soak::run(int events)
{
    announceLimit(0, { "7.1", 7.1 });
    std::this_thread::sleep_for(limitWindow);
    for (int event = 0; event < events; ++event) {
        std::size_t which = m_random() % 2;
        switch (m_random() % 8) {
        case 0:
            m_world.restartNode(which);
            break;
        case 1:
            m_world.stopNode(which);
            break;
        case 2:
            freeze(which);
            break;
        case 3:
            restartServer(which);
            break;
        case 4:
            takeStoreAway();
            break;
        case 5:
            leave(which);
            break;
        default:
            announceLimit(which);
            std::this_thread::sleep_for(std::chrono::milliseconds(m_random() % 6000));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(m_random() % 500));
    }
    m_world.stopClients();
}

// Arrivals from nodes that had passed on an answer of this start with its limit long enough before.
std::vector<announcement_soak::time_point> announcement_soak::boundArrivalsAt(const std::string& start)
{
    std::vector<time_point> result;
    for (const auto& arrival : m_world.server(m_serverOf.at(start)).arrivals()) {
        auto told = m_world.toldAt(arrival.requestId, start);
        if (arrival.start == start && told.limit && arrival.time >= *told.limit + boundAfter) {
            result.push_back(arrival.time);
        }
    }
    return result;
}

void announcement_soak::checkLimit(const std::string& start, std::vector<std::string>& found)
{
    const auto& history = m_announcements.at(start);
    auto named = std::find_if(history.begin(), history.end(), [](const announcement& each) { return each.limit != noLimit; });
    if (named == history.end()) {
        return;
    }
    auto arrivals = boundArrivalsAt(start);
    for (std::size_t first = 0, last = 0; last < arrivals.size(); ++last) {
        auto begin = arrivals[last] - limitWindow;
        if (begin < named->from + stableWindow) {
            continue;
        }
        while (arrivals[first] < begin) {
            ++first;
        }
        // The highest limit that was in force in the window counts, and one that ended less than a
        // second before it.
        double highest = 0;
        for (auto each = history.begin(); each != history.end(); ++each) {
            auto next = std::next(each);
            bool endedBefore = next != history.end() && next->from < begin - 1s;
            if (!endedBefore && each->from <= arrivals[last]) {
                highest = std::max(highest, each->limit);
            }
        }
        auto allowed = limitTolerance * highest * std::chrono::duration<double>(limitWindow).count() + limitSlack;
        auto count = last - first + 1;
        if (static_cast<double>(count) > allowed) {
            found.push_back(start + ": " + std::to_string(count) + " requests in 4 s, allowed " + std::to_string(allowed));
            return;
        }
    }
}

void announcement_soak::checkLeaving(const std::string& start, std::vector<std::string>& found)
{
    for (const auto& arrival : m_world.server(m_serverOf.at(start)).arrivals()) {
        auto told = m_world.toldAt(arrival.requestId, start);
        if (arrival.start == start && told.leaving && arrival.time > *told.leaving + drainLimit) {
            found.push_back(start + ": request " + arrival.requestId + " reached it after it had announced that it leaves");
            return;
        }
    }
}

std::vector<std::string> announcement_soak::violations()
{
    std::vector<std::string> found;
    for (const auto& entry : m_announcements) {
        checkLimit(entry.first, found);
        checkLeaving(entry.first, found);
    }
    return found;
}

std::size_t announcement_soak::boundArrivals()
{
    std::size_t count = 0;
    for (const auto& entry : m_announcements) {
        count += boundArrivalsAt(entry.first).size();
    }
    return count;
}

}
