// Rows of text in columns of equal width.
#ifndef LYNXGLADE_MAIN_CTL_TABLE_H_
#define LYNXGLADE_MAIN_CTL_TABLE_H_

#include <string>
#include <vector>

namespace lynxglade::ctl {

using Row = std::vector<std::string>;

// The header, then the rows, columns two spaces apart, lines ended by a
// newline; "(none)" when there are no rows. Control characters of the values
// are shown as '?', so that no value can write to the terminal.
std::string FormatTable(const Row& header, const std::vector<Row>& rows);

}  // namespace lynxglade::ctl

#endif  // LYNXGLADE_MAIN_CTL_TABLE_H_
