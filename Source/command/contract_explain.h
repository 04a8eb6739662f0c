#pragma once

#include "command/command.h"

namespace vanillashunt {

// vanillashunt contract explain FILE ...
command contractExplain();

}
