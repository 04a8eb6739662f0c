#include "command/text_table.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    constexpr std::size_t columnGap = 2;

}

text_table::text_table(const row& heading)
    : m_rows { heading }
{
}

void text_table::add(const row& cells)
{
    m_rows.push_back(cells);
}

std::string text_table::text() const
{
    std::vector<std::size_t> widths(m_rows.front().size());
    for (const auto& cells : m_rows) {
        for (std::size_t column = 0; column < cells.size(); ++column) {
            widths[column] = std::max(widths[column], cells[column].size());
        }
    }
    std::string result;
    for (const auto& cells : m_rows) {
        std::string line;
        for (std::size_t column = 0; column < cells.size(); ++column) {
            line += cells[column];
            line.append(widths[column] - cells[column].size() + columnGap, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        result += line + '\n';
    }
    return result;
}

}
