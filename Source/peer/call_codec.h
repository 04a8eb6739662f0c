#pragma once

#include "call/call_answer.h"
#include "call/call_request.h"
#include "peer/frame_history.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace vanillashunt {

// The frames of node-to-node connections: a fixed head, then a payload in CAF's
// binary format. The head holds the payload's kind, length and checksum, so that
// a frame cut short, or bytes of something else, are never taken for a call.

using byte_vector = std::vector<char>;

enum class frame_kind : std::uint8_t {
    Request = 1,
    Answer = 2,
};

struct frame_head {
    frame_kind kind = frame_kind::Request;
    std::uint32_t length = 0;
    std::uint64_t checksum = 0;
};

constexpr std::size_t frameHeaderBytes = 16;

// Bytes that a frame may have beside the bodies that the settings bound.
constexpr std::uint64_t frameOverheadBytes = 64ULL * 1024;

// Returns nothing for bytes that are not a frame's head.
std::optional<frame_head> decodeHead(const char* bytes);

bool checksumMatches(const frame_head&, std::string_view payload);

// The history is that of the connection and of the direction in which the frame goes;
// every frame is to be sent. An answer's request id is the one of the request before it
// on the connection. A request's deadline goes as the time that is left after now.
byte_vector encodeFrame(const call_request&, std::chrono::steady_clock::time_point now, frame_history&);
byte_vector encodeFrame(const call_answer&, const std::string& requestId, frame_history&);

// Both return nothing for a payload that the encoder cannot have made; nothing that
// comes behind it on the connection can be read then.
std::optional<call_request> decodeRequest(std::string_view payload, std::chrono::steady_clock::time_point now, frame_history&);
std::optional<call_answer> decodeAnswer(std::string_view payload, const std::string& requestId, frame_history&);

// The first frame that stands whole in some bytes.
struct found_frame {
    frame_head head;
    std::string_view payload;
};

enum class frame_search {
    Found,
    // The bytes are the beginning of a frame.
    Incomplete,
    // They are no frame of the kind, or one that is longer than it may be or damaged.
    Damaged,
};

frame_search findFrame(std::string_view bytes, frame_kind, std::uint64_t maxBodyBytes, found_frame&);

}
