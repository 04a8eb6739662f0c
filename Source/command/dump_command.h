#pragma once

#include "command/command.h"

namespace vanillashunt {

// vanillashunt dump IP:PORT ...
command dumpCommand();

}
