#pragma once

#include <initializer_list>
#include <string>

namespace vanillashunt {

enum class severity {
    Debug,
    Info,
    Warning,
    Error,
};

// A numbered event; docs/EVENTS.md is the catalogue of all of them.
struct event {
    int number;
    severity level;
    const char* text;
};

struct event_field {
    const char* name;
    std::string value;
};

// Has every line go to standard output instead of standard error; to be called
// before the first one.
void logToStandardOutput();

// Writes one line to standard error: time, severity, number, text and fields.
void logEvent(const event&, std::initializer_list<event_field> = {});

// Sets the least severity that is written: "debug", "info", "warning" or "error".
void setLogLevel(const std::string& word);

}
