#include "contract/toml_guard.h"

#include "contract/quantity.h"

#include <array>

namespace vanillashunt {

namespace {

    // The form of a UTF-8 character: the bits of its first byte, how many bytes
    // follow, and the least code point that needs that many.
    struct utf8_form {
        unsigned char mask;
        unsigned char lead;
        std::size_t followers;
        std::uint32_t least;
    };

    constexpr std::array<utf8_form, 4> utf8Forms { {
        { 0x80, 0x00, 0, 0 },
        { 0xe0, 0xc0, 1, 0x80 },
        { 0xf0, 0xe0, 2, 0x800 },
        { 0xf8, 0xf0, 3, 0x10000 },
    } };
    constexpr std::uint32_t largestCodePoint = 0x10ffff;
    constexpr std::uint32_t firstSurrogate = 0xd800;
    constexpr std::uint32_t lastSurrogate = 0xdfff;

    unsigned char byteAt(const std::string& text, std::size_t index)
    {
        return static_cast<unsigned char>(text[index]);
    }

    // Gives the length of the character with this form at the index, or 0 if it is broken.
    std::size_t characterLength(const std::string& text, std::size_t index, const utf8_form& form)
    {
        if (text.size() - index <= form.followers) {
            return 0;
        }
        std::uint32_t codePoint = byteAt(text, index) & static_cast<unsigned char>(~form.mask);
        for (std::size_t i = 1; i <= form.followers; ++i) {
            unsigned char byte = byteAt(text, index + i);
            if ((byte & 0xc0) != 0x80) {
                return 0;
            }
            codePoint = (codePoint << 6) | (byte & 0x3f);
        }
        bool isSurrogate = codePoint >= firstSurrogate && codePoint <= lastSurrogate;
        return codePoint < form.least || codePoint > largestCodePoint || isSurrogate ? 0 : form.followers + 1;
    }

    std::size_t characterLength(const std::string& text, std::size_t index)
    {
        for (const auto& form : utf8Forms) {
            if ((byteAt(text, index) & form.mask) == form.lead) {
                return characterLength(text, index, form);
            }
        }
        return 0;
    }

    // Walks over a text character by character and keeps account of where it is.
    struct text_position {
        int line = 1;
        std::size_t lineStart = 0;
        int nesting = 0;

        // Brackets in strings and comments count too, which errs on the safe side.
        void pass(char character, std::size_t index)
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
    if (text.size() > largestTomlText) {
        return text_problem { fileName, 0, "the text has " + std::to_string(text.size()) + " bytes, but may have at most " + formatSize(largestTomlText) + "; take out what is not needed" };
    }
    text_position position;
    for (std::size_t index = 0; index < text.size();) {
        auto length = characterLength(text, index);
        int column = static_cast<int>(index - position.lineStart) + 1;
        if (length == 0) {
            return text_problem { fileName, position.line, "this is not UTF-8; save the file in that encoding", column };
        }
        position.pass(text[index], index);
        index += length;
        if (position.nesting > deepestTomlNesting) {
            return text_problem { fileName, position.line, "more than " + std::to_string(deepestTomlNesting) + " brackets are open; close them, or take them out of comments and strings", column };
        }
        if (index - position.lineStart > longestTomlLine) {
            return text_problem { fileName, position.line, "the line is longer than " + std::to_string(longestTomlLine) + " bytes; break it up" };
        }
    }
    return std::nullopt;
}

}
