#pragma once

#include "admission/organisation_shares.h"
#include "decision/shedding_position.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace vanillashunt {

// What the gate saw in the window that ends now.
struct gate_window {
    std::chrono::duration<double> length { 0 };
    // Calls in a second that the backend server ends when all its slots are in use.
    double drainRate = 0;
    // Whether work waited during the whole of it, or was refused for want of room.
    bool overloaded = false;
};

// The lowest shedding position that a node admits. In a window of overload the
// cut rises to where the arrivals above it are what the node was able to end; in
// others it opens, by steps that double, until it is gone.
class shedding_cut {
public:
    explicit shedding_cut(const organisation_shares&);

    // Without this the cut only rises; only tests switch it off.
    void setOpens(bool opens) { m_opens = opens; }

    // Counts every call that asks, whether it is admitted or not.
    void arrived(organisation_index, shedding_position);

    void closeWindow(const gate_window&);

    // The cut if all requests were of one organisation.
    shedding_position get() const { return m_cut; }

    // The cut for one organisation: within the importance that is cut through, the
    // organisations have by their shares what the cut admits.
    shedding_position get(organisation_index) const;

private:
    static constexpr std::size_t bucketsPerImportance = 64;
    static constexpr std::size_t bucketCount = bucketsPerImportance * importanceCount;
    static constexpr shedding_position positionsPerBucket = positionsPerImportance / bucketsPerImportance;

    // Arrivals in a second by position, smoothed over the last windows.
    using rates = std::array<float, bucketCount>;

    struct organisation_tally {
        std::array<std::uint32_t, bucketCount> present {};
        rates smoothed {};
        // Whether anything was counted that has not faded yet.
        bool active = false;
        shedding_position cut = 0;
    };

    void smooth(std::chrono::duration<double> length);
    void moveCut(const gate_window&);
    shedding_position sparingConfirmed(shedding_position target);
    void moveOrganisationCuts();
    void fall(shedding_position& cut, shedding_position target) const;

    const organisation_shares& m_shares;
    std::vector<organisation_tally> m_tallies;
    rates m_total {};
    shedding_position m_cut = 0;
    shedding_position m_step = 0;
    // Windows whose target was among confirmed requests, less those whose was not.
    int m_confirmedWindows = 0;
    // Calls in a second that the node is taken to be able to carry.
    double m_budget = 0;
    bool m_opens = true;
};

}
