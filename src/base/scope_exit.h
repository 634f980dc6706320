// Runs a function at the end of a scope, however it is left.
#ifndef LYNXGLADE_BASE_SCOPE_EXIT_H_
#define LYNXGLADE_BASE_SCOPE_EXIT_H_

#include <utility>

namespace lynxglade::base {

// The function must not throw.
template <typename Function>
class ScopeExit {
 public:
  explicit ScopeExit(Function function) : function_(std::move(function)) {}
  ~ScopeExit() { function_(); }
  ScopeExit(const ScopeExit&) = delete;
  ScopeExit& operator=(const ScopeExit&) = delete;

 private:
  Function function_;
};

}  // namespace lynxglade::base

#endif  // LYNXGLADE_BASE_SCOPE_EXIT_H_
