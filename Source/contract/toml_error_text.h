#pragma once

#include "contract/text_problem.h"

#include <string>

namespace vanillashunt {

// Reads the drawing of several lines that toml11 makes of a syntax error: the
// last place that it points at is where the reader stopped, and is nearer to the
// fault than the location in the exception. Parts that can't be found keep the
// values of the fallback.
text_problem readTomlErrorText(const std::string& drawing, const text_problem& fallback);

}
