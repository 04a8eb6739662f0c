#include "store/seed_directory.h"

namespace vanillashunt {

std::string seedKey(const std::string& availabilityZone, std::size_t number)
{
    return seedPrefix + availabilityZone + "/" + std::to_string(number);
}

}
