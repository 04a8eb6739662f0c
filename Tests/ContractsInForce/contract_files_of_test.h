#pragma once

#include <filesystem>
#include <fstream>
#include <string>

namespace vanillashunt {

// A contract of hotel-seri that is told by its share.
inline std::string contractWithShare(const std::string& share)
{
    return "customer = \"hotel-seri\"\nshare = " + share + R"(

[[class]]
name = "thread-history"
service = "threads"
method = "GET"
path = "/history"
idempotent = true
importance = "deferrable"
deadline = "5s"
target = 0.99
retries = 2
)";
}

// Writes a file for a command to read and returns its path.
inline std::string writeFile(const std::filesystem::path& path, const std::string& text)
{
    std::ofstream(path) << text;
    return path.string();
}

}
