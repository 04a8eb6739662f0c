#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace vanillashunt {

// A text as its difference from one that the reader has: so many of that one's
// first bytes, then the rest.
struct shortened_text {
    // The whole text is the request's id.
    static constexpr std::uint8_t isRequestId = 255;

    std::uint8_t shared = 0;
    // Part of the text that was shortened, or of the frame that was read.
    std::string_view rest;
};

// The texts of the last frame that went one way over a connection, in their order.
// The frames of one connection are alike (host, names of fields, service, path), and
// bytes between availability zones cost money; so a text is told as its difference
// from the one at the same place of the frame before. Sender and receiver keep one
// each, which agree because a connection loses and reorders nothing.
class frame_history {
public:
    // Starts with the first text of the next frame. Ids are long, differ in each frame
    // and come again in fields: one that both ends know is not sent again.
    void beginFrame(const std::string& requestId)
    {
        m_next = 0;
        m_requestId = requestId;
    }

    // The frame itself has told the id.
    void learnRequestId(const std::string& requestId) { m_requestId = requestId; }

    shortened_text shorten(const std::string& text);

    // Nothing for what shorten() cannot have returned at the other end.
    std::optional<std::string> restore(const shortened_text&);

private:
    const std::string& previous() const;
    void remember(std::size_t shared, std::string_view rest);

    std::vector<std::string> m_texts;
    // Of the present frame; empty before it is known.
    std::string m_requestId;
    std::size_t m_next = 0;
};

}
