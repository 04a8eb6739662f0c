#pragma once

#include "command/command.h"

namespace vanillashunt {

// vanillashunt contract check FILE ...
command contractCheck();

}
