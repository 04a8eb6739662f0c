#pragma once

#include "command/command.h"

namespace vanillashunt {

// The commands that read what stands in the platform's store:
// vanillashunt contract get CUSTOMER
command contractGet();
// vanillashunt contract list
command contractList();
// vanillashunt contract diff FILE
command contractDiff();

}
