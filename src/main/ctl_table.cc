#include "main/ctl_table.h"

#include <algorithm>

namespace lynxglade::ctl {
namespace {

std::string ReplaceControlCharacters(std::string text) {
  std::ranges::replace_if(
      text, [](unsigned char c) { return c < 0x20 || c == 0x7f; }, '?');
  return text;
}

void UpdateWidths(const Row& row, std::vector<std::size_t>* widths) {
  for (std::size_t i = 0; i < row.size(); ++i) {
    (*widths)[i] = std::max((*widths)[i], row[i].size());
  }
}

std::string FormatRow(const Row& row, const std::vector<std::size_t>& widths) {
  std::string line;
  for (std::size_t i = 0; i < row.size(); ++i) {
    std::string cell = ReplaceControlCharacters(row[i]);
    cell.resize(std::max(cell.size(), widths[i]), ' ');
    line += (i == 0 ? "" : "  ") + cell;
  }
  line.erase(line.find_last_not_of(' ') + 1);
  return line + "\n";
}

}  // namespace

std::string FormatTable(const Row& header, const std::vector<Row>& rows) {
  if (rows.empty()) {
    return "(none)\n";
  }
  std::vector<std::size_t> widths(header.size());
  UpdateWidths(header, &widths);
  std::ranges::for_each(rows,
                        [&](const Row& it) { UpdateWidths(it, &widths); });
  std::string text = FormatRow(header, widths);
  std::ranges::for_each(rows,
                        [&](const Row& it) { text += FormatRow(it, widths); });
  return text;
}

}  // namespace lynxglade::ctl
