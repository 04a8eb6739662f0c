#pragma once

#include "budget/byte_reservation.h"

#include <memory>
#include <ostream>
#include <string>
#include <utility>

namespace vanillashunt {

// The body of a message, with the room that the message holds in the node's budget. Copies share both, so
// a message is held once on its way through the node, and its room is released with its last copy.
class message_body {
public:
    message_body() = default;
    message_body(std::string text, byte_reservation room = {})
        : m_content(std::make_shared<const content>(content { std::move(text), std::move(room) }))
    {
    }
    message_body(const char* text)
        : message_body(std::string(text))
    {
    }

    const std::string& text() const { return m_content ? m_content->text : emptyText(); }
    operator const std::string&() const { return text(); }

    std::size_t size() const { return text().size(); }
    bool empty() const { return text().empty(); }
    // Gives up this copy.
    void clear() { m_content.reset(); }

private:
    struct content {
        std::string text;
        byte_reservation room;
    };

    static const std::string& emptyText()
    {
        static const std::string empty;
        return empty;
    }

    std::shared_ptr<const content> m_content;
};

inline bool operator==(const message_body& left, const message_body& right)
{
    return left.text() == right.text();
}

inline bool operator==(const message_body& left, const char* right)
{
    return left.text() == right;
}

inline bool operator==(const message_body& left, const std::string& right)
{
    return left.text() == right;
}

inline std::ostream& operator<<(std::ostream& stream, const message_body& body)
{
    return stream << body.text();
}

}
