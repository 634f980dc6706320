// Formats the details of the checker's findings.
#ifndef LYNXGLADE_TESTS_RIG_FORMAT_H_
#define LYNXGLADE_TESTS_RIG_FORMAT_H_

#include <algorithm>
#include <cstddef>
#include <cstdio>
#include <string>

namespace lynxglade::rig {

// As std::snprintf(), up to 200 characters.
template <typename... Args>
std::string Format(const char* format, Args... args) {
  std::string text(200, '\0');
  const int n = std::snprintf(text.data(), text.size(), format, args...);
  text.resize(static_cast<std::size_t>(std::max(n, 0)));
  return text;
}

}  // namespace lynxglade::rig

#endif  // LYNXGLADE_TESTS_RIG_FORMAT_H_
