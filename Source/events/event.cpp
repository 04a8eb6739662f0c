#include "events/event.h"

#include "events/line_writer.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/formatter_parser.hpp>
#include <boost/make_shared.hpp>

#include <array>
#include <sstream>

#include <unistd.h>

namespace vanillashunt {

namespace {

    using boost::log::trivial::severity_level;

    severity_level boostSeverity(severity level)
    {
        constexpr std::array<severity_level, 4> levels {
            severity_level::debug, severity_level::info, severity_level::warning, severity_level::error
        };
        return levels.at(static_cast<std::size_t>(level));
    }

    // A value may come from outside, and is not to end its line or its quotes.
    std::string escape(const std::string& value)
    {
        constexpr unsigned char firstPrintable = 0x20;
        std::string result;
        for (char character : value) {
            if (character == '"' || character == '\\') {
                result += '\\';
            }
            bool printable = static_cast<unsigned char>(character) >= firstPrintable && character != 0x7f;
            result += printable ? character : '?';
        }
        return result;
    }

    bool& writesToStandardOutput()
    {
        static bool value = false;
        return value;
    }

    // Hands each formatted line to the writer, which never blocks.
    class line_backend : public boost::log::sinks::basic_formatted_sink_backend<char> {
    public:
        explicit line_backend(int descriptor)
            : m_writer(descriptor)
        {
        }

        void consume(const boost::log::record_view&, const std::string& line) { m_writer.write(line); }

    private:
        line_writer m_writer;
    };

    void addSinkOnce()
    {
        static const bool added = [] {
            boost::log::add_common_attributes();
            auto descriptor = writesToStandardOutput() ? STDOUT_FILENO : STDERR_FILENO;
            using line_sink = boost::log::sinks::synchronous_sink<line_backend>;
            auto sink = boost::make_shared<line_sink>(boost::make_shared<line_backend>(descriptor));
            sink->set_formatter(boost::log::parse_formatter("%TimeStamp% %Message%"));
            boost::log::core::get()->add_sink(sink);
            return true;
        }();
        (void)added;
    }

}

void logToStandardOutput()
{
    writesToStandardOutput() = true;
}

void logEvent(const event& what, std::initializer_list<event_field> fields)
{
    addSinkOnce();
    std::ostringstream line;
    line << boostSeverity(what.level) << " VS" << what.number << ' ' << what.text;
    for (const auto& field : fields) {
        line << ' ' << field.name << "=\"" << escape(field.value) << '"';
    }
    BOOST_LOG_STREAM_WITH_PARAMS(boost::log::trivial::logger::get(),
        (boost::log::keywords::severity = boostSeverity(what.level)))
        << line.str();
}

void setLogLevel(const std::string& word)
{
    auto level = severity_level::info;
    boost::log::trivial::from_string(word.data(), word.size(), level);
    boost::log::core::get()->set_filter(boost::log::trivial::severity >= level);
}

}
