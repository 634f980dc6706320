// Stacks for the coroutines that serve one exchange.
#ifndef LYNXGLADE_CONNECTION_COROUTINE_STACK_H_
#define LYNXGLADE_CONNECTION_COROUTINE_STACK_H_

#include <boost/coroutine2/protected_fixedsize_stack.hpp>

#if defined(__SANITIZE_ADDRESS__)
#include <sanitizer/asan_interface.h>
#endif

namespace lynxglade::connection {

// Guarded stacks of a fixed size. Meets Boost.Context's stack allocator
// requirements, whose names it uses.
class CoroutineStack {
 public:
  explicit CoroutineStack(std::size_t bytes) : stack_(bytes) {}

  // NOLINTNEXTLINE(readability-identifier-naming)
  boost::context::stack_context allocate() { return stack_.allocate(); }

  // NOLINTNEXTLINE(readability-identifier-naming)
  void deallocate(boost::context::stack_context& context) noexcept {
#if defined(__SANITIZE_ADDRESS__)
    // The address sanitizer's marks of frames that were left by switching away
    // would be found by whatever is mapped here next.
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
