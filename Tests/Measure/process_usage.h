#pragma once

#include <sys/types.h>

namespace vanillashunt {

// What a process has used so far, as the system counts it.
struct process_usage {
    double cpuSeconds = 0;
    double residentMegabytes = 0;
};

process_usage usageOf(pid_t);

}
