#pragma once

#include "contract/text_problem.h"

#include <string>

namespace vanillashunt {

// Converts the multi-line error text of toml11 into a problem. The last position that the text
// points at is where the parser stopped, which is closer to the error than the location in the
// exception. Values that the text does not contain are taken from the fallback.
text_problem readTomlErrorText(const std::string& errorText, const text_problem& fallback);

}
