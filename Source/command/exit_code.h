#pragma once

namespace vanillashunt {

// How a command ended, for scripts.
enum class exit_code {
    Ok = 0,
    Usage = 2, // The command line or a file that it names cannot be read.
    Refused = 3, // What was asked is not allowed, or was refused.
    Unknown = 4, // It is not known whether it took effect, or nothing is known of what was asked for.
    Unreachable = 5, // A process that had to be asked did not answer.
};

}
