#pragma once

#include "command/command.h"

namespace vanillashunt {

// vanillashunt stop announce|withdraw
command stopCommand();

}
