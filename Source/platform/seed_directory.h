#pragma once

#include "decision/member.h"
#include "platform/store_client.h"

#include <functional>

namespace vanillashunt {

// Reads and writes the members' entries in the platform's store.
std::string writeSeed(const member&);
std::optional<member> readSeed(const std::string& text, std::chrono::steady_clock::time_point now);

constexpr const char* seedPrefix = "/vanillashunt/seeds/";
constexpr const char* contractPrefix = "/vanillashunt/contracts/";

}
