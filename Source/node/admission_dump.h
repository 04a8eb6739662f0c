#pragma once

#include "admission/admission_gate.h"
#include "admission/entrance_gate.h"

#include <json/value.h>

namespace vanillashunt {

// Dumps the admission gate of the local backend server. docs/operating/reading-overload.md
// explains the fields.
Json::Value dumpGate(const admission_gate&);

// Dumps the gate for whole requests that enter at this node.
Json::Value dumpEntrance(const entrance_gate&);

}
