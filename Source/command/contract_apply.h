#pragma once

#include "command/command.h"

namespace vanillashunt {

// vanillashunt contract apply FILE
command contractApply();

}
