#pragma once

#include "command/command.h"

namespace vanillashunt {

// vanillashunt explain REQUEST_ID --node IP:PORT ...
command explainCommand();

}
