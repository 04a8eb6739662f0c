#pragma once

#include "admission/organisation_shares.h"
#include "decision/shedding_position.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace vanillashunt {

// Measurements of the gate in the window that ends now.
struct gate_window {
    std::chrono::duration<double> length { 0 };
    // Calls per second that the backend server completes when all its slots are in use.
    double drainRate = 0;
    // Whether calls waited during the whole window, or were refused for lack of capacity.
    bool overloaded = false;
};

// The cut: the lowest shedding position that a node admits. In a window with overload it
// rises until the arrivals above it match the rate at which the node completed calls; in
// other windows it falls, by steps that double, until it is 0.
class shedding_cut {
public:
    explicit shedding_cut(const organisation_shares&);

    // Whether the cut falls after an overload; only tests switch this off.
    void setMayFall(bool mayFall) { m_mayFall = mayFall; }

    // Counts an arriving call; to be called for every one, whether it is admitted or not.
    void arrived(organisation_index, shedding_position);

    void closeWindow(const gate_window&);

    // The cut that would apply if all requests came from one organisation.
    shedding_position get() const { return m_cut; }

    // The cut for one organisation: within the importance that contains the cut, the admitted
    // rate is divided among the organisations by their shares.
    shedding_position get(organisation_index) const;

private:
    static constexpr std::size_t bucketsPerImportance = 64;
    static constexpr std::size_t bucketCount = bucketsPerImportance * importanceCount;
    static constexpr shedding_position positionsPerBucket = positionsPerImportance / bucketsPerImportance;

    // Arrivals per second by position, smoothed over the last windows.
    using rates = std::array<float, bucketCount>;

    struct organisation_tally {
        std::array<std::uint32_t, bucketCount> counts {};
        rates smoothed {};
        // Whether any count or smoothed rate is not zero.
        bool active = false;
        shedding_position cut = 0;
    };

    void updateRates(std::chrono::duration<double> length);
    void updateCut(const gate_window&);
    shedding_position protectConfirmed(shedding_position target);
    void updateOrganisationCuts();
    void lower(shedding_position& cut, shedding_position target) const;

    const organisation_shares& m_shares;
    std::vector<organisation_tally> m_tallies;
    rates m_total {};
    shedding_position m_cut = 0;
    shedding_position m_step = 0;
    // Windows whose target was among confirmed requests, minus the other windows; from 0 to
    // maxConfirmedWindows.
    int m_confirmedWindows = 0;
    // Estimate of the calls per second that the node can complete.
    double m_budget = 0;
    bool m_mayFall = true;
};

}
