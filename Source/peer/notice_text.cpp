#include "peer/notice_text.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace vanillashunt {

namespace {

    constexpr char separator = ';';
    constexpr std::chrono::milliseconds maxAge { std::chrono::hours(24 * 365) };

    template <class Number>
    void append(std::string& text, Number value)
    {
        std::array<char, 32> digits {};
        auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value).ptr;
        text.append(digits.data(), end).push_back(separator);
    }

    // Reads the parts of a text from the front.
    class part_reader {
    public:
        explicit part_reader(const std::string& text)
            : m_next(text.data())
            , m_end(text.data() + text.size())
        {
        }

        template <class Number>
        Number read()
        {
            Number value {};
            auto result = std::from_chars(m_next, m_end, value);
            m_failed = m_failed || result.ec != std::errc {} || result.ptr == m_end || *result.ptr != separator;
            m_next = m_failed ? m_end : result.ptr + 1;
            return value;
        }

        bool atEnd() const { return m_next == m_end; }
        bool failed() const { return m_failed; }

    private:
        const char* m_next;
        const char* m_end;
        bool m_failed = false;
    };

}

std::string toText(const relayed_notice& told)
{
    std::string text;
    append(text, told.start);
    append(text, told.observer);
    append(text, told.version);
    append(text, std::clamp(told.age, std::chrono::milliseconds(0), maxAge).count());
    append(text, told.notice.isLeaving ? 1 : 0);
    if (told.notice.rateLimit) {
        append(text, *told.notice.rateLimit);
    }
    return text;
}

std::optional<relayed_notice> parseNotice(const std::string& text)
{
    part_reader parts(text);
    relayed_notice told;
    told.start = parts.read<std::uint64_t>();
    told.observer = parts.read<std::uint64_t>();
    told.version = parts.read<std::uint64_t>();
    told.age = std::chrono::milliseconds(parts.read<std::int64_t>());
    auto leaving = parts.read<int>();
    told.notice.isLeaving = leaving == 1;
    bool isValid = !parts.failed() && told.age.count() >= 0 && told.age <= maxAge && (leaving == 0 || leaving == 1);
    if (isValid && !parts.atEnd()) {
        told.notice.rateLimit = parts.read<double>();
        isValid = std::isfinite(*told.notice.rateLimit) && *told.notice.rateLimit >= 0;
    }
    return isValid && !parts.failed() && parts.atEnd() ? std::optional(told) : std::nullopt;
}

}
