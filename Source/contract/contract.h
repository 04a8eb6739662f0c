#pragma once

#include "decision/importance.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace vanillashunt {

// Upper limit on the retries for one whole request, over all calls that it causes.
// No contract can set a higher one.
constexpr std::uint32_t maxRetries = 3;

// One kind of request of one organisation, identified by where it enters the mesh.
struct request_class {
    std::string name;
    // The entry: service, HTTP method and path prefix.
    std::string service;
    std::string method;
    std::string pathPrefix;
    bool idempotent = true;
    importance level = importance::Deferrable;
    // Time limit for the whole request, measured from its arrival at the entry.
    std::chrono::milliseconds deadline { 0 };
    // Fraction of whole requests that must be answered, for example 0.999.
    double target = 0;
    // Retries for one whole request; at most maxRetries.
    std::uint32_t retries = 0;
};

// The terms agreed with one organisation. All limits that the nodes enforce for it are
// derived from them.
struct contract {
    std::string organisation;
    // Fraction of each service's capacity guaranteed to this organisation under overload, in (0, 1].
    double share = 1;
    std::vector<request_class> classes;
};

// Returns the class with the same service and method and the longest matching path prefix,
// or null if none matches. The pointer is valid as long as the contract.
const request_class* findClass(const contract&, const std::string& service, const std::string& method, const std::string& path);

// A contract as stored in the platform's store.
struct stored_contract {
    contract terms;
    // The TOML text that the operator applied.
    std::string text;
    // The store's revision of the write that accepted it.
    std::int64_t revision = 0;
};

// All contracts in force, by organisation, and the store revision up to which they are
// known to be complete.
struct contract_set {
    std::map<std::string, stored_contract> byOrganisation;
    std::int64_t revision = 0;
};

// An immutable snapshot.
using contract_snapshot = std::shared_ptr<const contract_set>;

}
