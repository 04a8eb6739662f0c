#include "contract/toml_guard.h"

#include "contract/quantity.h"

#include <array>

namespace vanillashunt {

namespace {

    // The encoding of UTF-8 characters of one length: the fixed bits of the first byte, the number
    // of continuation bytes, and the smallest code point that needs that many.
    struct utf8_pattern {
        unsigned char mask;
        unsigned char leadBits;
        std::size_t continuationBytes;
        std::uint32_t minCodePoint;
    };

    constexpr std::array<utf8_pattern, 4> utf8Patterns { {
        { 0x80, 0x00, 0, 0 },
        { 0xe0, 0xc0, 1, 0x80 },
        { 0xf0, 0xe0, 2, 0x800 },
        { 0xf8, 0xf0, 3, 0x10000 },
    } };
    constexpr std::uint32_t maxCodePoint = 0x10ffff;
    constexpr std::uint32_t firstSurrogate = 0xd800;
    constexpr std::uint32_t lastSurrogate = 0xdfff;

    unsigned char byteAt(const std::string& text, std::size_t index)
    {
        return static_cast<unsigned char>(text[index]);
    }

    // Returns the length in bytes of the character at the index, which starts as in the pattern,
    // or 0 if it is invalid.
    std::size_t characterLength(const std::string& text, std::size_t index, const utf8_pattern& pattern)
    {
        if (text.size() - index <= pattern.continuationBytes) {
            return 0;
        }
        std::uint32_t codePoint = byteAt(text, index) & static_cast<unsigned char>(~pattern.mask);
        for (std::size_t i = 1; i <= pattern.continuationBytes; ++i) {
            unsigned char byte = byteAt(text, index + i);
            if ((byte & 0xc0) != 0x80) {
                return 0;
            }
            codePoint = (codePoint << 6) | (byte & 0x3f);
        }
        bool isSurrogate = codePoint >= firstSurrogate && codePoint <= lastSurrogate;
        return codePoint < pattern.minCodePoint || codePoint > maxCodePoint || isSurrogate ? 0 : pattern.continuationBytes + 1;
    }

    std::size_t characterLength(const std::string& text, std::size_t index)
    {
        for (const auto& pattern : utf8Patterns) {
            if ((byteAt(text, index) & pattern.mask) == pattern.leadBits) {
                return characterLength(text, index, pattern);
            }
        }
        return 0;
    }

    // Position while scanning a text character by character: the line, the index where the line
    // starts, and the number of open brackets.
    struct text_position {
        int line = 1;
        std::size_t lineStart = 0;
        int nesting = 0;

        // Counts brackets in strings and comments too: stricter than necessary, but safe.
        void advance(char character, std::size_t index)
        {
            if (character == '\n') {
                ++line;
                lineStart = index + 1;
            }
            if (character == '[' || character == '{') {
                ++nesting;
            }
            if ((character == ']' || character == '}') && nesting > 0) {
                --nesting;
            }
        }
    };

}

std::optional<text_problem> findUnsafeToml(const std::string& text, const std::string& fileName)
{
    if (text.size() > maxTomlSize) {
        return text_problem { fileName, 0, "the text has " + std::to_string(text.size()) + " bytes, but may have at most " + formatSize(maxTomlSize) + "; remove what is not needed" };
    }
    text_position position;
    for (std::size_t index = 0; index < text.size();) {
        auto length = characterLength(text, index);
        int column = static_cast<int>(index - position.lineStart) + 1;
        if (length == 0) {
            return text_problem { fileName, position.line, "this is not UTF-8; save the file in that encoding", column };
        }
        position.advance(text[index], index);
        index += length;
        if (position.nesting > maxTomlNesting) {
            return text_problem { fileName, position.line, "more than " + std::to_string(maxTomlNesting) + " brackets are open; close them, or remove them from comments and strings", column };
        }
        if (index - position.lineStart > maxTomlLineLength) {
            return text_problem { fileName, position.line, "the line is longer than " + std::to_string(maxTomlLineLength) + " bytes; break it up" };
        }
    }
    return std::nullopt;
}

}
