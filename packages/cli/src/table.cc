#include "table.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace shallotlug::cli {

std::string FormatTable(const std::vector<TableRow>& rows) {
  std::vector<std::size_t> widths;
  for (const TableRow& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t n = 0; n < row.size(); ++n) {
      widths[n] = std::max(widths[n], row[n].size());
    }
  }
  std::string text;
  for (const TableRow& row : rows) {
    std::string line;
    for (std::size_t n = 0; n < row.size(); ++n) {
      line += row[n] + std::string(widths[n] - row[n].size() + 2, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

std::string FormatNumber(double n, int decimals) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(decimals) << n;
  return out.str();
}

}  // namespace shallotlug::cli
