#include "Measure/process_usage.h"

#include <fstream>
#include <string>

#include <unistd.h>

namespace vanillashunt {

process_usage usageOf(pid_t id)
{
    process_usage usage;
    std::ifstream stat("/proc/" + std::to_string(id) + "/stat");
    std::string word;
    // Fields 14 and 15 are user and system time; the name, field 2, has no space here.
    long ticks = 0;
    for (int field = 1; field <= 15 && stat >> word; ++field) {
        ticks += field >= 14 ? std::stol(word) : 0;
    }
    usage.cpuSeconds = static_cast<double>(ticks) / static_cast<double>(sysconf(_SC_CLK_TCK));
    std::ifstream statm("/proc/" + std::to_string(id) + "/statm");
    long size = 0;
    long resident = 0;
    statm >> size >> resident;
    usage.residentMegabytes = static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
    return usage;
}

}
