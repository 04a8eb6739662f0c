#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace vanillashunt {

// A string encoded by its difference from a base string that the receiver has: the number
// of leading bytes in common, and the remaining bytes.
struct prefix_coded_string {
    // Value of prefixLength if the whole string is the request id.
    static constexpr std::uint8_t requestIdMarker = 255;

    std::uint8_t prefixLength = 0;
    // A view of the string that was encoded, or of the frame that is decoded.
    std::string_view suffix;
};

// The strings of the last frame sent in one direction of a connection, in their order.
// Consecutive frames of a connection are similar (host, field names, service, path), and
// traffic between availability zones is billed by volume; so each string is encoded as its
// difference from the string at the same position of the previous frame. Sender and receiver
// keep a history each; both stay equal because TCP neither loses nor reorders data.
class frame_history {
public:
    // Starts the next frame at its first string. Request ids are long, differ in each frame
    // and are repeated in fields, so an id that both ends know is not sent again. The id is
    // empty if it is not known yet.
    void beginFrame(const std::string& requestId)
    {
        m_nextIndex = 0;
        m_requestId = requestId;
    }

    // Sets the request id once the current frame has transferred it.
    void setRequestId(const std::string& requestId) { m_requestId = requestId; }

    prefix_coded_string encode(const std::string& text);

    // Returns nothing if encode() cannot have returned the value at the other end.
    std::optional<std::string> decode(const prefix_coded_string&);

private:
    const std::string& previous() const;
    void remember(std::size_t prefixLength, std::string_view suffix);

    std::vector<std::string> m_strings;
    // Request id of the current frame; empty until it is known.
    std::string m_requestId;
    std::size_t m_nextIndex = 0;
};

}
