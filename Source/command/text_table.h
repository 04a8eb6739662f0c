#pragma once

#include <string>
#include <vector>

namespace vanillashunt {

// Lines of columns that are as wide as their widest cell.
class text_table {
public:
    using row = std::vector<std::string>;

    explicit text_table(const row& heading);

    // Takes as many cells as the heading has.
    void add(const row&);

    std::string text() const;

private:
    std::vector<row> m_rows;
};

}
