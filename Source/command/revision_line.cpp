#include "command/revision_line.h"

#include <charconv>

namespace vanillashunt {

namespace {

    const std::string linePrefix = "# revision ";

}

std::optional<std::int64_t> readRevision(const std::string& text)
{
    std::int64_t value = 0;
    const char* end = text.data() + text.size();
    auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc {} || parsed.ptr != end || value < 0) {
        return std::nullopt;
    }
    return value;
}

std::optional<std::int64_t> revisionLineOf(const std::string& text)
{
    if (text.compare(0, linePrefix.size(), linePrefix) != 0) {
        return std::nullopt;
    }
    return readRevision(text.substr(linePrefix.size(), text.find('\n') - linePrefix.size()));
}

std::string withoutRevisionLine(const std::string& text)
{
    if (!revisionLineOf(text)) {
        return text;
    }
    auto end = text.find('\n');
    return end == std::string::npos ? std::string() : text.substr(end + 1);
}

std::string withRevisionLine(const std::string& text, std::int64_t revision)
{
    return linePrefix + std::to_string(revision) + "\n" + withoutRevisionLine(text);
}

}
