#include "backend/server_report.h"

namespace vanillashunt {

std::string toString(server_condition condition)
{
    switch (condition) {
    case server_condition::Ready:
        return "ready";
    case server_condition::Draining:
        return "draining";
    case server_condition::Left:
        return "left";
    }
    return "";
}

}
