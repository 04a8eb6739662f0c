#pragma once

#include "command/command.h"

namespace vanillashunt {

// vanillashunt node FILE
command nodeCommand();

}
