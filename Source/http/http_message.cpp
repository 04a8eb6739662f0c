#include "http/http_message.h"

#include <array>

namespace vanillashunt {

bool isHopByHop(const std::string& fieldName)
{
    constexpr std::array<std::string_view, 10> names {
        "Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding",
        "Upgrade", "Host", "Content-Length", "Expect"
    };
    for (auto name : names) {
        if (equalIgnoringCase(fieldName, name)) {
            return true;
        }
    }
    return false;
}

}
