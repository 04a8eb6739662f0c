#include "StandIn/load_stand_in.h"

#include <fstream>
#include <iostream>
#include <stdexcept>

namespace vanillashunt {

load_stand_in::load_stand_in(boost::asio::io_context& io, const load_settings& settings, std::ostream& out)
    : m_io(io)
    , m_settings(settings)
    , m_out(out)
    , m_caller(std::make_shared<http_caller>(io))
    , m_random(settings.seed)
    , m_timer(io)
{
}

void load_stand_in::start(std::function<void()> done)
{
    m_done = std::move(done);
    m_start = load_request::clock::now();
    m_nextArrival = m_start;
    m_phaseEnd = m_start + m_settings.phases.front().length;
    scheduleNext();
}

void load_stand_in::scheduleNext()
{
    while (m_phase < m_settings.phases.size()) {
        auto rate = m_settings.phases[m_phase].rate;
        std::chrono::duration<double> gap(rate > 0 ? std::exponential_distribution<double>(rate)(m_random) : 1e6);
        auto candidate = m_nextArrival + std::chrono::duration_cast<std::chrono::microseconds>(gap);
        if (candidate < m_phaseEnd) {
            m_nextArrival = candidate;
            m_timer.expires_at(m_nextArrival);
            m_timer.async_wait([this](boost::system::error_code error) {
                if (!error && m_isArriving) {
                    arrive();
                }
            });
            return;
        }
        // Arrivals have no memory, so the next phase begins afresh at its start.
        m_nextArrival = m_phaseEnd;
        ++m_phase;
        if (m_phase < m_settings.phases.size()) {
            m_phaseEnd += m_settings.phases[m_phase].length;
        }
    }
    m_timer.expires_at(m_phaseEnd);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            stopArrivals();
        }
    });
}

void load_stand_in::arrive()
{
    ++m_unfinished;
    auto request = std::make_shared<load_request>(m_io, m_caller, m_settings, chooseKind(), m_random,
        [this](const load_result& result) { finishRequest(result); });
    request->start(m_start, load_request::clock::now());
    scheduleNext();
}

const load_kind& load_stand_in::chooseKind()
{
    std::vector<double> weights;
    for (const auto& kind : m_settings.kinds) {
        weights.push_back(kind.weight);
    }
    return m_settings.kinds[std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(m_random)];
}

void load_stand_in::finishRequest(const load_result& result)
{
    --m_unfinished;
    m_summary.add(result);
    m_out << toLine(toJson(result)) << '\n';
    finishIfDone();
}

void load_stand_in::stopArrivals()
{
    if (!m_isArriving) {
        return;
    }
    m_isArriving = false;
    m_arrivalTime = std::chrono::duration_cast<std::chrono::microseconds>(load_request::clock::now() - m_start);
    finishIfDone();
}

void load_stand_in::finishIfDone()
{
    if (m_isArriving || m_unfinished > 0) {
        return;
    }
    Json::Value line;
    line["summary"] = m_summary.toJson(m_arrivalTime);
    m_out << toLine(line) << std::endl;
    m_done();
}

int runLoad(int argc, char** argv)
{
    auto settings = parseLoadSettings(argc, argv);
    std::ofstream file;
    if (!settings.outFile.empty()) {
        file.open(settings.outFile);
        if (!file) {
            throw std::invalid_argument("--out: cannot write " + settings.outFile + "; name a file in a folder that exists");
        }
    }
    boost::asio::io_context io(1);
    load_stand_in load(io, settings, file.is_open() ? static_cast<std::ostream&>(file) : std::cout);
    callAtStop(io, [&] { load.stopArrivals(); });
    Json::Value ready;
    ready["ready"] = "load";
    printReady(ready);
    load.start([&io] { io.stop(); });
    io.run();
    return 0;
}

}
