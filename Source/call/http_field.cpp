#include "call/http_field.h"

#include <algorithm>
#include <cctype>

namespace vanillashunt {

bool equalIgnoringCase(const std::string& a, const std::string& b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) {
        return std::tolower(x) == std::tolower(y);
    });
}

std::string fieldValue(const http_fields& fields, const std::string& name)
{
    for (const auto& field : fields) {
        if (equalIgnoringCase(field.name, name)) {
            return field.value;
        }
    }
    return {};
}

}
