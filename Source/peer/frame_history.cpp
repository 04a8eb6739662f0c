#include "peer/frame_history.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    // Maximum number of strings stored for each direction of a connection, and maximum bytes
    // of each string. A request has about 30 strings, few of them longer than 100 bytes, so
    // that a node with several hundred connections stores less than 2 MB.
    constexpr std::size_t maxStrings = 64;
    constexpr std::size_t maxStringBytes = prefix_coded_string::requestIdMarker - 1;

    const std::string emptyString;

}

const std::string& frame_history::previous() const
{
    return m_nextIndex < m_strings.size() ? m_strings[m_nextIndex] : emptyString;
}

// Keeps the common prefix of the stored string: most strings are equal to those of the
// previous frame, and then nothing is copied.
void frame_history::remember(std::size_t prefixLength, std::string_view suffix)
{
    if (m_nextIndex == m_strings.size() && m_nextIndex < maxStrings) {
        m_strings.emplace_back();
    }
    if (m_nextIndex < m_strings.size()) {
        auto& stored = m_strings[m_nextIndex];
        stored.resize(prefixLength);
        stored.append(suffix.substr(0, maxStringBytes - prefixLength));
    }
    ++m_nextIndex;
}

prefix_coded_string frame_history::encode(const std::string& text)
{
    if (!m_requestId.empty() && text == m_requestId) {
        remember(0, text);
        return { prefix_coded_string::requestIdMarker, {} };
    }
    const auto& base = previous();
    auto length = std::min(base.size(), text.size());
    auto end = static_cast<std::ptrdiff_t>(length);
    auto firstDifference = std::mismatch(base.begin(), base.begin() + end, text.begin()).first;
    auto prefixLength = static_cast<std::size_t>(firstDifference - base.begin());
    prefix_coded_string result { static_cast<std::uint8_t>(prefixLength), std::string_view(text).substr(prefixLength) };
    remember(prefixLength, result.suffix);
    return result;
}

std::optional<std::string> frame_history::decode(const prefix_coded_string& coded)
{
    if (coded.prefixLength == prefix_coded_string::requestIdMarker) {
        remember(0, m_requestId);
        return m_requestId.empty() ? std::nullopt : std::optional(m_requestId);
    }
    const auto& base = previous();
    if (coded.prefixLength > base.size()) {
        return std::nullopt;
    }
    std::string text;
    text.reserve(coded.prefixLength + coded.suffix.size());
    text.append(base, 0, coded.prefixLength);
    text.append(coded.suffix);
    remember(coded.prefixLength, coded.suffix);
    return text;
}

}
