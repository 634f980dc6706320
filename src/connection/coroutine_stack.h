// Stack allocator for the coroutines that serve an exchange.
#ifndef LYNXGLADE_CONNECTION_COROUTINE_STACK_H_
#define LYNXGLADE_CONNECTION_COROUTINE_STACK_H_

#include <boost/coroutine2/protected_fixedsize_stack.hpp>

#if defined(__SANITIZE_ADDRESS__)
#include <sanitizer/asan_interface.h>
#endif

namespace lynxglade::connection {

// Allocates stacks of a fixed size with a guard page. Implements
// Boost.Context's stack allocator concept.
class CoroutineStack {
 public:
  explicit CoroutineStack(std::size_t bytes) : stack_(bytes) {}

  // NOLINTNEXTLINE(readability-identifier-naming)
  boost::context::stack_context allocate() { return stack_.allocate(); }

  // NOLINTNEXTLINE(readability-identifier-naming)
  void deallocate(boost::context::stack_context& context) noexcept {
#if defined(__SANITIZE_ADDRESS__)
    // AddressSanitizer's poisoning of abandoned frames would otherwise affect
    // the next mapping at this address.
    __asan_unpoison_memory_region(static_cast<char*>(context.sp) - context.size,
                                  context.size);
#endif
    stack_.deallocate(context);
  }

 private:
  boost::coroutines2::protected_fixedsize_stack stack_;
};

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_COROUTINE_STACK_H_
