#include "node/boot_clock.h"

#include <ctime>

namespace vanillashunt {

std::chrono::steady_clock::time_point bootTime()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::steady_clock::time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

}
