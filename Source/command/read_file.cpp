#include "command/read_file.h"

#include <fstream>
#include <iterator>

namespace vanillashunt {

std::optional<std::string> readFile(const std::string& fileName)
{
    std::ifstream file(fileName);
    if (!file) {
        return std::nullopt;
    }
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    if (file.bad()) {
        return std::nullopt;
    }
    return text;
}

}
