#pragma once

// The library headers that take longest to parse, precompiled once.

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <caf/all.hpp>
#include <json/json.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>
