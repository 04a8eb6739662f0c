#pragma once

#include "contract/contract.h"
#include "decision/shedding_position.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace vanillashunt {

// The shedding positions of one importance; both ends belong to it.
struct shedding_band {
    shedding_position first = 0;
    shedding_position last = 0;
};

// What the nodes enforce for one class.
struct class_limits {
    request_class terms;
    shedding_band band;
    // For all calls of one whole request together.
    std::uint32_t retryTokens = 0;
    // Fraction of whole requests that may go unanswered.
    double refusalBudget = 0;
    // How long the home remembers a request, from its ticket's making: as long as it
    // takes the ticket, or until the run ends. Zero for an idempotent class, which needs none.
    std::chrono::milliseconds ledgerRetention { 0 };
};

// An organisation's part of one service where its requests enter.
struct service_part {
    std::string service;
    // Of all organisations with a class that enters there.
    double sumOfShares = 0;
    // What the organisation has of the service while all of them have requests waiting.
    double part = 0;
};

// What the nodes enforce for one organisation.
struct organisation_limits {
    // Capacity under overload is divided in proportion to the weights of those who wait.
    double weight = 0;
    std::int64_t revision = 0;
    std::vector<service_part> services;
    std::vector<class_limits> classes;
};

// Everything that follows from the contracts in force.
struct derived_limits {
    std::map<std::string, organisation_limits> byOrganisation;
    std::int64_t revision = 0;
};

shedding_band sheddingBand(importance);

class_limits deriveClassLimits(const request_class&);

derived_limits deriveLimits(const contract_set&);

}
