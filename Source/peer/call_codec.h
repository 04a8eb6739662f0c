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

// The frames of node-to-node connections: a header of fixed size and a payload in CAF's
// binary format. The header contains the kind, length and checksum of the payload, so that
// truncated frames and bytes of other protocols are never decoded as a call.

using byte_vector = std::vector<char>;

enum class frame_kind : std::uint8_t {
    Request = 1,
    Answer = 2,
};

struct frame_header {
    frame_kind kind = frame_kind::Request;
    std::uint32_t length = 0;
    std::uint64_t checksum = 0;
};

constexpr std::size_t frameHeaderBytes = 16;

// Maximum size of a payload in addition to the body, whose size the settings limit.
constexpr std::uint64_t frameOverheadBytes = 64ULL * 1024;

// Decodes frameHeaderBytes bytes; returns nothing if they are not a frame header.
std::optional<frame_header> decodeHeader(const char* bytes);

bool checksumMatches(const frame_header&, std::string_view payload);

// A frame that is sent: the bytes before the body, the body, and the bytes after it. The bytes of a short
// body are part of those before it.
struct outgoing_frame {
    byte_vector begin;
    message_body body {};
    byte_vector end {};

    std::size_t size() const { return begin.size() + body.size() + end.size(); }
};

// Encode a frame without copying a long body; the result is empty if the encoder fails. The history belongs to one
// connection and one direction, and every encoded frame must be sent. The request id of an
// answer is that of the request that precedes it on the connection. The deadline of a
// request is encoded as the time that remains after now.
outgoing_frame encodeOutgoing(const call_request&, std::chrono::steady_clock::time_point now, frame_history&);
outgoing_frame encodeOutgoing(const call_answer&, const std::string& requestId, frame_history&);

// The same as one sequence of bytes.
byte_vector encodeFrame(const call_request&, std::chrono::steady_clock::time_point now, frame_history&);
byte_vector encodeFrame(const call_answer&, const std::string& requestId, frame_history&);

// Decode a payload; return nothing if encodeFrame() cannot have produced it, or if it is the answer of a
// server without a final status. No later frame of the connection can be decoded then, because the history is
// incomplete. The room belongs to the message.
std::optional<call_request> decodeRequest(std::string_view payload, std::chrono::steady_clock::time_point now, frame_history&, byte_reservation room = {});
std::optional<call_answer> decodeAnswer(std::string_view payload, const std::string& requestId, frame_history&, byte_reservation room = {});

// The same for long payloads, whose memory becomes that of the body.
std::optional<call_request> decodeLongRequest(std::string payload, std::chrono::steady_clock::time_point now, frame_history&, byte_reservation room);
std::optional<call_answer> decodeLongAnswer(std::string payload, const std::string& requestId, frame_history&, byte_reservation room);

// The first complete frame of a byte sequence. The payload is a view of these bytes.
struct found_frame {
    frame_header header;
    std::string_view payload;
};

enum class frame_search {
    Found,
    // The bytes are the beginning of a frame, or too few for its header.
    Incomplete,
    // The bytes are not a frame of the expected kind, or the frame is too long, or its
    // checksum does not match.
    Damaged,
};

frame_search findFrame(std::string_view bytes, frame_kind, std::uint64_t maxBodyBytes, found_frame&);

}
