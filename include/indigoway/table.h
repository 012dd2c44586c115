#pragma once

#include <string>
#include <vector>

namespace indigoway {

/** The result of an operator's query: named columns, and rows of the same width. */
struct Table
{
    std::vector<std::string> columns;
    std::vector<std::vector<std::string>> rows;
};

} // namespace indigoway
