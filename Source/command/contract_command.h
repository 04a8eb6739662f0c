#pragma once

#include "command/command.h"

namespace vanillashunt {

// vanillashunt contract SUB-COMMAND ...
command contractCommand();

}
