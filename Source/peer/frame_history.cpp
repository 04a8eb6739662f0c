#include "peer/frame_history.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    // Places that are remembered for each direction of a connection, and bytes of each
    // text: a request has about 30 texts, hardly one of them over 100 bytes long. With
    // some hundred connections a node keeps less than 2 MB.
    constexpr std::size_t mostTexts = 64;
    constexpr std::size_t longestRemembered = shortened_text::isRequestId - 1;

    const std::string nothing;

}

const std::string& frame_history::previous() const
{
    return m_next < m_texts.size() ? m_texts[m_next] : nothing;
}

// What is remembered keeps its first bytes: most texts are the same as in the frame
// before, and nothing is copied for them.
void frame_history::remember(std::size_t shared, std::string_view rest)
{
    if (m_next == m_texts.size() && m_next < mostTexts) {
        m_texts.emplace_back();
    }
    if (m_next < m_texts.size()) {
        auto& known = m_texts[m_next];
        known.resize(shared);
        known.append(rest.substr(0, longestRemembered - shared));
    }
    ++m_next;
}

shortened_text frame_history::shorten(const std::string& text)
{
    if (!m_requestId.empty() && text == m_requestId) {
        remember(0, text);
        return { shortened_text::isRequestId, {} };
    }
    const auto& known = previous();
    auto length = std::min(known.size(), text.size());
    auto end = static_cast<std::ptrdiff_t>(length);
    auto firstOther = std::mismatch(known.begin(), known.begin() + end, text.begin()).first;
    auto shared = static_cast<std::size_t>(firstOther - known.begin());
    shortened_text result { static_cast<std::uint8_t>(shared), std::string_view(text).substr(shared) };
    remember(shared, result.rest);
    return result;
}

std::optional<std::string> frame_history::restore(const shortened_text& shortened)
{
    if (shortened.shared == shortened_text::isRequestId) {
        remember(0, m_requestId);
        return m_requestId.empty() ? std::nullopt : std::optional(m_requestId);
    }
    const auto& known = previous();
    if (shortened.shared > known.size()) {
        return std::nullopt;
    }
    std::string text;
    text.reserve(shortened.shared + shortened.rest.size());
    text.append(known, 0, shortened.shared);
    text.append(shortened.rest);
    remember(shortened.shared, shortened.rest);
    return text;
}

}
