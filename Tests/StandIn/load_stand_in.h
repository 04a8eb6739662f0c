#pragma once

#include "StandIn/load_request.h"
#include "StandIn/load_summary.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <ostream>
#include <random>

namespace vanillashunt {

// Many clients at once: requests arrive at random, whether or not the earlier
// ones have been answered.
class load_stand_in {
public:
    load_stand_in(boost::asio::io_context&, const load_settings&, std::ostream& out);

    // Calls back when the last request is finished.
    void start(std::function<void()> done);

    // Makes no more requests.
    void stopArrivals();

private:
    void scheduleNext();
    void arrive();
    void finishRequest(const load_result&);
    void finishIfDone();
    const load_kind& chooseKind();

    boost::asio::io_context& m_io;
    const load_settings& m_settings;
    std::ostream& m_out;
    std::shared_ptr<http_caller> m_caller;
    std::mt19937_64 m_random;
    boost::asio::steady_timer m_timer;
    std::function<void()> m_done;
    load_summary m_summary;
    load_request::clock::time_point m_start;
    load_request::clock::time_point m_nextArrival;
    load_request::clock::time_point m_phaseEnd;
    std::chrono::microseconds m_arrivalTime { 0 };
    std::size_t m_phase = 0;
    std::uint64_t m_unfinished = 0;
    bool m_isArriving = true;
};

// Runs the subcommand "load".
int runLoad(int argc, char** argv);

}
