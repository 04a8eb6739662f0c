#pragma once

#include "command/command.h"

namespace vanillashunt {

// vanillashunt quota: what nodes know of an organisation's limit.
command quotaCommand();

}
