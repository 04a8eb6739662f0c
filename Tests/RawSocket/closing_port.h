#pragma once

#include "RawSocket/raw_socket.h"

namespace vanillashunt {

// Connects again and again until the port is closed, and returns the last of the connections, on which
// nothing has been sent.
inline raw_socket lastConnectionBeforePortCloses(const std::string& address)
{
    constexpr std::chrono::milliseconds period { 20 };
    auto last = raw_socket::connectTo(address);
    try {
        while (true) {
            std::this_thread::sleep_for(period);
            last = raw_socket::connectTo(address);
        }
    } catch (const boost::system::system_error&) {
        return last;
    }
}

}
