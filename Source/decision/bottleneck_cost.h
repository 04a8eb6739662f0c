#pragma once

#include <chrono>
#include <string>

namespace vanillashunt {

// What one whole request took of the service that is narrowest on its call chain.
struct bottleneck_cost {
    // The service; the deepest one while none on the chain is overloaded.
    std::string service;
    // Time for which the request held slots there, over all calls of its chain.
    std::chrono::microseconds slotTime { 0 };
};

}
