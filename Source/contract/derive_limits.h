#pragma once

#include "contract/contract.h"
#include "decision/shedding_position.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace vanillashunt {

// The range of shedding positions of one importance, both ends included.
struct shedding_band {
    shedding_position first = 0;
    shedding_position last = 0;
};

// The limits that the nodes enforce for one class.
struct class_limits {
    request_class terms;
    shedding_band band;
    // Retries for all calls of one whole request together.
    std::uint32_t retryTokens = 0;
    // Fraction of whole requests that may go unanswered.
    double refusalBudget = 0;
    // How long the home node of a ticket keeps the request in its ledger, from when the ticket
    // was issued: until the ticket expires, or until the run ends if that is later. Zero for an
    // idempotent class, which needs no ticket.
    std::chrono::milliseconds ledgerRetention { 0 };
};

// An organisation's allocation of one service where its requests enter.
struct service_allocation {
    std::string service;
    // Sum over all organisations with a class that enters at the service.
    double sumOfShares = 0;
    // Fraction of the service's capacity that the organisation gets while all of these
    // organisations have requests waiting.
    double fraction = 0;
};

// The limits that the nodes enforce for one organisation.
struct organisation_limits {
    // Under overload, capacity is divided in proportion to the weights of the organisations
    // that have requests waiting.
    double weight = 0;
    std::int64_t revision = 0;
    std::vector<service_allocation> services;
    std::vector<class_limits> classes;
};

// All limits derived from the contracts in force.
struct derived_limits {
    std::map<std::string, organisation_limits> byOrganisation;
    std::int64_t revision = 0;
};

shedding_band sheddingBand(importance);

class_limits deriveClassLimits(const request_class&);

derived_limits deriveLimits(const contract_set&);

}
