#include "RoutedWorld/soak_server.h"

#include "Harness/sliding_window.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    // One request in so many is refused, and one runs for longer than its route allows.
    constexpr std::uint64_t refusedOneIn = 12;
    constexpr std::uint64_t slowOneIn = 25;
    constexpr std::chrono::milliseconds usualRun { 5 };
    constexpr std::chrono::milliseconds slowRun { 1500 };

}

soak_server::soak_server(std::uint64_t seed)
    : m_random(seed)
    , m_randomLoads(seed)
    , m_number(seed)
{
    m_server = std::make_unique<http_server>(m_loop.context, "127.0.0.1:0", http_server_limits {},
        [this](const http_request& request, const std::shared_ptr<http_exchange>& exchange) { called(request, exchange); });
}

soak_server::~soak_server()
{
    m_loop.runAndWait([&] {
        m_server.reset();
    });
}

std::string soak_server::startAgain()
{
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        ++m_starts;
    }
    return instance();
}

void soak_server::startAgainById()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    ++m_born;
}

void soak_server::startAgainAt(std::int64_t born)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_born = born;
}

std::size_t soak_server::runsStartedAfter(std::chrono::steady_clock::time_point moment)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return static_cast<std::size_t>(m_runStartTimes.end() - std::upper_bound(m_runStartTimes.begin(), m_runStartTimes.end(), moment));
}

void soak_server::announce(const std::string& rateLimit, bool isLeaving)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_rateLimit = rateLimit;
    m_isLeaving = isLeaving;
}

std::string soak_server::seal()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return sealText();
}

std::string soak_server::sealText() const
{
    return "seal-" + std::to_string(m_number) + "-" + std::to_string(m_starts) + "-" + std::to_string(m_born);
}

std::vector<soak_arrival> soak_server::arrivals()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_arrivals;
}

std::size_t soak_server::arrivalsAfter(std::chrono::steady_clock::time_point moment)
{
    auto all = arrivals();
    return std::count_if(all.begin(), all.end(), [moment](const soak_arrival& each) { return each.time > moment; });
}

std::size_t soak_server::mostArrivals(std::chrono::milliseconds span, std::chrono::steady_clock::time_point moment)
{
    std::vector<std::chrono::steady_clock::time_point> times;
    for (const auto& each : arrivals()) {
        if (each.time > moment) {
            times.push_back(each.time);
        }
    }
    return mostWithin(span, times);
}

std::int64_t soak_server::born()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_born;
}

std::string soak_server::instance()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return "i-" + std::to_string(m_number) + "-" + std::to_string(m_starts);
}

std::map<std::string, int> soak_server::runs()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_runs;
}

http_fields soak_server::loadFields()
{
    constexpr const char* name = "Vanillashunt-Instance-Load";
    auto slots = std::to_string(capacity);
    switch (m_randomLoads() % 8) {
    case 0:
        return {};
    case 1:
        return { { name, "much,-1" } };
    case 2:
        return { { name, "0,0," + std::to_string(capacity + 1) + ",100" } };
    case 3:
    case 4:
        return { { name, "1,0," + slots + ",250" } };
    default:
        return { { name, "1,0," + slots + ",100" } };
    }
}

http_fields soak_server::announcedFields() const
{
    http_fields fields;
    if (!m_rateLimit.empty()) {
        fields.push_back({ "Server-Limit", m_rateLimit });
    }
    if (m_isLeaving) {
        fields.push_back({ "Server-Leaving", "1" });
    }
    return fields;
}

void soak_server::called(const http_request& request, const std::shared_ptr<http_exchange>& exchange)
{
    auto id = fieldValue(request.fields, "Vanillashunt-Request-Id");
    auto own = instance();
    std::unique_lock<std::mutex> lock(m_mutex);
    m_arrivals.push_back({ std::chrono::steady_clock::now(), id, sealText() });
    auto announced = announcedFields();
    announced.push_back({ "Vanillashunt-Request-Id", id });
    if (fieldValue(request.fields, "Vanillashunt-Expect-Instance") != own) {
        lock.unlock();
        announced.push_back({ "Vanillashunt-Instance-Id", own });
        exchange->respond({ 421, std::move(announced), "" });
        return;
    }
    if (m_random() % refusedOneIn == 0) {
        lock.unlock();
        announced.push_back({ "Vanillashunt-Not-Executed", "1" });
        exchange->respond({ 503, std::move(announced), "" });
        return;
    }
    ++m_runs[id];
    m_runStartTimes.push_back(std::chrono::steady_clock::now());
    auto time = m_random() % slowOneIn == 0 ? slowRun : usualRun;
    auto fields = loadFields();
    auto signature = sealText();
    lock.unlock();
    fields.insert(fields.end(), announced.begin(), announced.end());
    fields.push_back({ "Vanillashunt-Server-Seal", signature });
    answerLater(time, exchange, { 200, std::move(fields), "ran " + id });
}

void soak_server::answerLater(std::chrono::milliseconds time, const std::shared_ptr<http_exchange>& exchange, http_response response)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_loop.context, time);
    timer->async_wait([timer, exchange, response = std::move(response)](boost::system::error_code) { exchange->respond(response); });
}

}
