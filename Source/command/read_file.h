#pragma once

#include <optional>
#include <string>

namespace vanillashunt {

// Returns nothing for a file that cannot be read.
std::optional<std::string> readFile(const std::string& fileName);

}
