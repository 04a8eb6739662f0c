#pragma once

#include "command/command.h"

namespace vanillashunt {

// vanillashunt status IP:PORT ...
command statusCommand();

}
