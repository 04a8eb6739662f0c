#pragma once

#include "admission/admission_gate.h"
#include "admission/entrance_gate.h"

#include <json/value.h>

namespace vanillashunt {

// The gate before the own backend server, as docs/operating/reading-overload.md explains it.
Json::Value dumpGate(const admission_gate&);

// The gate for whole requests that enter at this node.
Json::Value dumpEntrance(const entrance_gate&);

}
