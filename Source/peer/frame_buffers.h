#pragma once

#include "peer/call_codec.h"

#include <boost/asio/buffer.hpp>

#include <array>

namespace vanillashunt {

// The buffers to send. They are valid as long as the frame is.
inline std::array<boost::asio::const_buffer, 3> buffersOf(const outgoing_frame& frame)
{
    return { boost::asio::buffer(frame.begin), boost::asio::buffer(frame.body.text()), boost::asio::buffer(frame.end) };
}

}
