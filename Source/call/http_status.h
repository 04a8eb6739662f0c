#pragma once

namespace vanillashunt {

// Whether a status code announces a later, final answer to the same request (RFC 9110, 15.2).
constexpr bool isInformationalStatus(unsigned status)
{
    constexpr unsigned first = 100;
    constexpr unsigned last = 199;
    return status >= first && status <= last;
}

// Whether a status code is that of an answer (RFC 9110, 15). Codes from 600 on are invalid.
constexpr bool isFinalStatus(unsigned status)
{
    constexpr unsigned first = 200;
    constexpr unsigned last = 599;
    return status >= first && status <= last;
}

}
