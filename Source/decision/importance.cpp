#include "decision/importance.h"

namespace vanillashunt {

std::string toString(importance value)
{
    switch (value) {
    case importance::Deferrable:
        return "deferrable";
    case importance::Interactive:
        return "interactive";
    case importance::Confirmed:
        return "confirmed";
    }
    return "unknown";
}

std::optional<importance> parseImportance(const std::string& name)
{
    for (int level = 0; level < importanceCount; ++level) {
        auto candidate = static_cast<importance>(level);
        if (toString(candidate) == name) {
            return candidate;
        }
    }
    return std::nullopt;
}

}
