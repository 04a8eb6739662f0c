#include "events/line_writer.h"

#include "events/event_catalogue.h"

#include <climits>

#include <poll.h>
#include <unistd.h>

namespace vanillashunt {

namespace {

    std::string leftOutLine(std::uint64_t count)
    {
        const auto& what = events::logLinesLeftOut;
        return "warning VS" + std::to_string(what.number) + ' ' + what.text + " count=\"" + std::to_string(count) + '"';
    }

}

line_writer::line_writer(int descriptor)
    : m_descriptor(descriptor)
{
}

void line_writer::write(const std::string& line)
{
    if (m_reported != m_leftOut) {
        if (!tryWrite(leftOutLine(m_leftOut - m_reported))) {
            ++m_leftOut;
            return;
        }
        m_reported = m_leftOut;
    }
    if (!tryWrite(line)) {
        ++m_leftOut;
    }
}

// A pipe that polls as writable takes this many bytes at once, without blocking.
bool line_writer::tryWrite(const std::string& line) const
{
    pollfd state { m_descriptor, POLLOUT, 0 };
    if (poll(&state, 1, 0) != 1 || (state.revents & POLLOUT) == 0) {
        return false;
    }
    auto bytes = line.substr(0, PIPE_BUF - 1) + '\n';
    return ::write(m_descriptor, bytes.data(), bytes.size()) == static_cast<ssize_t>(bytes.size());
}

}
