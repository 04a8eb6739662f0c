#pragma once

#include <cstdint>
#include <string>

namespace vanillashunt {

// Writes lines to a file descriptor and never waits for whoever reads it: a line
// that would block is left out and counted, and the next one that goes through
// says how many were.
class line_writer {
public:
    // The descriptor outlives the writer.
    explicit line_writer(int descriptor);

    // The line comes without its end. One that is too long for the descriptor to take
    // at once is cut short.
    void write(const std::string& line);

    // Lines left out since the start.
    std::uint64_t leftOut() const { return m_leftOut; }

private:
    bool tryWrite(const std::string& line) const;

    int m_descriptor;
    std::uint64_t m_leftOut = 0;
    std::uint64_t m_reported = 0;
};

}
