// Formats rows of text as a table with aligned columns.
#ifndef LYNXGLADE_MAIN_CTL_TABLE_H_
#define LYNXGLADE_MAIN_CTL_TABLE_H_

#include <string>
#include <vector>

namespace lynxglade::ctl {

using Row = std::vector<std::string>;

// The header and the rows, one per line, with columns two spaces apart;
// "(none)" if there are no rows. Control characters in values are replaced by
// '?', so that a value cannot inject terminal escape sequences.
std::string FormatTable(const Row& header, const std::vector<Row>& rows);

}  // namespace lynxglade::ctl

#endif  // LYNXGLADE_MAIN_CTL_TABLE_H_
