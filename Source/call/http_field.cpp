#include "call/http_field.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    // Field names are ASCII. std::tolower looks up the locale for each byte.
    constexpr char toLowerAscii(char byte)
    {
        return byte >= 'A' && byte <= 'Z' ? static_cast<char>(byte - 'A' + 'a') : byte;
    }

}

bool equalIgnoringCase(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return toLowerAscii(x) == toLowerAscii(y); });
}

std::string fieldValue(const http_fields& fields, std::string_view name)
{
    for (const auto& field : fields) {
        if (equalIgnoringCase(field.name, name)) {
            return field.value;
        }
    }
    return {};
}

}
