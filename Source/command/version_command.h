#pragma once

#include "command/command.h"

namespace vanillashunt {

// vanillashunt version
command versionCommand();

}
