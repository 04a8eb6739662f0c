#pragma once

#include "command/command.h"

namespace vanillashunt {

// vanillashunt contract status REVISION
command contractStatus();

}
