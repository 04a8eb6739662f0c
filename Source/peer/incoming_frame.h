#pragma once

#include "budget/byte_reservation.h"
#include "peer/call_codec.h"

#include <boost/beast/core/flat_buffer.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace vanillashunt {

// Collects one frame after the other from the bytes that a connection receives. A short frame is read where
// it was received; a long one is moved into a buffer of its own, which becomes the body of its message.
class incoming_frame {
public:
    using time_point = std::chrono::steady_clock::time_point;

    incoming_frame(frame_kind, std::uint64_t maxBodyBytes, std::shared_ptr<byte_budget>, byte_place);

    // Takes the bytes of a long frame from those received, and finds a complete frame.
    frame_search take(boost::beast::flat_buffer& received);

    // Asks for room for the next part of an incomplete frame; see byte_reservation::reserve().
    byte_grant reserve(time_point now, byte_grant_handler);

    // Decode the frame that was found and remove its bytes; return nothing if it cannot be decoded.
    std::optional<call_request> decodeRequest(boost::beast::flat_buffer& received, time_point now, frame_history&);
    std::optional<call_answer> decodeAnswer(boost::beast::flat_buffer& received, const std::string& requestId, frame_history&);

    // Whether there was room for the frame that was found.
    bool hasRoom() const { return m_hasRoom; }

    // Whether received bytes follow the frame that was found.
    bool isFollowed(const boost::beast::flat_buffer& received) const;

    // Gives up the frame.
    void reset();

private:
    frame_search takeLong(boost::beast::flat_buffer& received);
    void finish(boost::beast::flat_buffer& received);

    frame_kind m_kind;
    std::uint64_t m_maxBodyBytes;
    std::shared_ptr<byte_budget> m_budget;
    byte_place m_place;
    byte_reservation m_room;
    bool m_hasRoom = true;
    found_frame m_found;
    // The frame that arrives, if it is long.
    std::optional<frame_header> m_longHeader;
    std::string m_longPayload;
};

}
