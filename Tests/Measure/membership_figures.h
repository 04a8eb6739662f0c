#pragma once

#include <json/value.h>

#include <cstddef>

namespace vanillashunt {

// Measures with that many real nodes how soon a join, a leave and a death are
// known, what membership costs while nothing happens, and whether anybody was
// taken for dead who lived.
Json::Value measureMembership(std::size_t nodes);

// Measures with that many real nodes how soon a changed contract is in force,
// and what that costs the store.
Json::Value measureConfiguration(std::size_t nodes);

}
