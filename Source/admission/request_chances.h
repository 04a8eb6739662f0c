#pragma once

#include "decision/fading_mean.h"

#include <chrono>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillashunt {

// A class of requests that fails often, for the dump.
struct low_chance {
    std::string requestClass;
    double chance = 0;
};

// Which whole requests are refused where they enter since they would hardly succeed, by the
// chance of their class that comes back with answers from below.
class request_chances {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // Below that chance a request that is not idempotent is refused; 0 refuses none.
    explicit request_chances(double leastChance);

    // A target told the chance of a request of the class.
    void told(const std::string& requestClass, double chance, time_point now);

    double get(const std::string& requestClass, time_point now) const;

    // The classes that fail more often than now and then.
    std::vector<low_chance> lowChances(time_point now) const;

    // Whether a request of the class is to be refused. Lets one through every now and then, to
    // learn whether the trouble is over.
    bool refuses(const std::string& requestClass, bool idempotent, time_point now);

private:
    struct class_chance {
        class_chance();

        double chance(time_point now) const { return 1 - failing.get(now); }

        fading_mean failing;
        time_point nextProbe;
    };

    double m_leastChance;
    std::unordered_map<std::string, class_chance> m_classes;
};

}
