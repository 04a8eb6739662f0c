#include "events/event_catalogue.h"
#include "events/event_limiter.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cctype>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

namespace vanillashunt {

namespace {

    std::string readText(const std::filesystem::path& path)
    {
        std::ifstream file(path);
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

    std::string severityWord(severity level)
    {
        constexpr std::array words { "debug", "info", "warning", "error" };
        return words.at(static_cast<std::size_t>(level));
    }

    // What the code says of an event, as the page's row begins.
    std::string rowOf(const event& what)
    {
        return "| " + std::to_string(what.number) + " | " + severityWord(what.level) + " | " + what.text + " |";
    }

    // The words of letters and digits that follow each occurrence of a text.
    std::set<std::string> wordsAfter(const std::string& prefix, const std::string& text)
    {
        std::set<std::string> found;
        for (auto place = text.find(prefix); place != std::string::npos; place = text.find(prefix, place + 1)) {
            auto begin = text.begin() + static_cast<std::ptrdiff_t>(place + prefix.size());
            auto end = std::find_if_not(begin, text.end(), [](unsigned char character) { return std::isalnum(character); });
            found.insert(std::string(begin, end));
        }
        return found;
    }

    // The numbers that begin the rows of the page's table.
    std::set<std::string> numbersOf(const std::string& page)
    {
        auto numbers = wordsAfter("\n| ", page);
        numbers.erase("number");
        numbers.erase("");
        return numbers;
    }

    // All code but the catalogue itself.
    std::string readSource()
    {
        std::string text;
        for (const auto& entry : std::filesystem::recursive_directory_iterator(SOURCE_FOLDER)) {
            if (entry.is_regular_file() && entry.path().filename() != "event_catalogue.h") {
                text += readText(entry.path());
            }
        }
        return text;
    }

}

TEST(EventCatalogue, ThePageHasEveryEventAndNoOther)
{
    auto page = readText(EVENTS_PAGE);
    std::set<std::string> numbers;
    for (const auto& what : events::all) {
        EXPECT_NE(page.find(rowOf(what)), std::string::npos) << rowOf(what);
        EXPECT_TRUE(numbers.insert(std::to_string(what.number)).second) << what.number << " is given twice";
    }
    EXPECT_EQ(numbersOf(page), numbers);
}

TEST(EventCatalogue, TheCodeLogsEveryEventAndNoOther)
{
    auto source = readSource();
    auto catalogue = readText(std::filesystem::path(SOURCE_FOLDER) / "events/event_catalogue.h");
    auto named = wordsAfter("constexpr event ", catalogue);
    EXPECT_EQ(named.size(), events::all.size());
    EXPECT_EQ(wordsAfter("events::", source), named);
    EXPECT_EQ(wordsAfter("constexpr event ", source), std::set<std::string>()) << "belongs into the catalogue";
}

TEST(EventLimiter, CountsWhatItLeavesOut)
{
    event_limiter limiter(2, std::chrono::seconds(1));
    std::chrono::steady_clock::time_point now;
    EXPECT_EQ(limiter.take(events::callShed, now), 0U);
    EXPECT_EQ(limiter.take(events::callShed, now), 0U);
    EXPECT_EQ(limiter.take(events::callShed, now), std::nullopt);
    EXPECT_EQ(limiter.take(events::callShed, now + std::chrono::milliseconds(999)), std::nullopt);
    EXPECT_EQ(limiter.take(events::requestRefused, now), 0U) << "each event has its own bound";
    EXPECT_EQ(limiter.take(events::callShed, now + std::chrono::seconds(1)), 2U);
    EXPECT_EQ(limiter.take(events::callShed, now + std::chrono::seconds(1)), 0U);
    EXPECT_EQ(limiter.take(events::callShed, now + std::chrono::seconds(1)), std::nullopt);
}

}
