#pragma once

#include "decision/server_notice.h"

#include <optional>
#include <string>

namespace vanillashunt {

// The text of a relayed notice in the frames between nodes.
std::string toText(const relayed_notice&);

// Returns nothing for a text that toText() cannot have written.
std::optional<relayed_notice> parseNotice(const std::string&);

}
