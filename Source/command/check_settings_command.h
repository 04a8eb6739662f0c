#pragma once

#include "command/command.h"

namespace vanillashunt {

// vanillashunt check-settings FILE
command checkSettingsCommand();

}
