#pragma once

#include "Harness/contract_texts.h"

#include <filesystem>
#include <fstream>
#include <string>

namespace vanillashunt {

// Writes a file for a command to read and returns its path.
inline std::string writeFile(const std::filesystem::path& path, const std::string& text)
{
    std::ofstream(path) << text;
    return path.string();
}

}
