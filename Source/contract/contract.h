#pragma once

#include "decision/importance.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace vanillashunt {

// Retries that one whole request may cost at most, whatever a contract says.
constexpr std::uint32_t retryBound = 3;

// One kind of request of one organisation, told by where it enters.
struct request_class {
    std::string name;
    // The entry: service, HTTP method and path prefix.
    std::string service;
    std::string method;
    std::string pathPrefix;
    bool idempotent = true;
    importance level = importance::Deferrable;
    // Time for the whole request, from its arrival at the entry.
    std::chrono::milliseconds deadline { 0 };
    // Fraction of whole requests to be answered, for example 0.999.
    double target = 0;
    // Retries for one whole request; at most retryBound.
    std::uint32_t retries = 0;
};

// What one organisation was promised; every limit follows from it.
struct contract {
    std::string organisation;
    // Part of each service that is this organisation's under overload, in (0, 1].
    double share = 1;
    std::vector<request_class> classes;
};

// Finds the class with the longest matching path prefix; null if none matches.
const request_class* findClass(const contract&, const std::string& service, const std::string& method, const std::string& path);

// A contract as the platform's store holds it.
struct stored_contract {
    contract terms;
    // The text that the operator applied.
    std::string text;
    // The store's revision of the write that accepted it.
    std::int64_t revision = 0;
};

// All contracts in force, by organisation, and the highest store revision among them.
struct contract_set {
    std::map<std::string, stored_contract> byOrganisation;
    std::int64_t revision = 0;
};

// A snapshot that nobody changes.
using contract_snapshot = std::shared_ptr<const contract_set>;

}
