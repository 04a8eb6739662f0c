#pragma once

#include <chrono>
#include <string>

namespace vanillashunt {

// The slot time that one whole request used at the bottleneck service of its call chain.
struct bottleneck_cost {
    // The bottleneck service; the deepest service while none on the chain is overloaded.
    std::string service;
    // Time for which the request held slots there, summed over all calls of its chain.
    std::chrono::microseconds slotTime { 0 };
};

}
