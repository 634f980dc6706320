#include "process/peers/spending_mark.h"

#include <chrono>
#include <utility>

#include "base/log.h"

namespace lynxglade::process::peers {

namespace {

using base::Log;
using base::LogLevel;
using connection::event::Awaitable;
using connection::event::ErrorCode;
using connection::event::Into;
namespace asio = connection::event::asio;

}  // namespace

SpendingMark::SpendingMark(asio::io_context& loop,
                           store::StorePort& store,
                           SpendingMarkOptions options,
                           SpendingMarkHooks hooks,
                           base::Clock clock,
                           base::RandomSource random)
    : loop_(loop),
      store_(store),
      options_(std::move(options)),
      hooks_(std::move(hooks)),
      clock_(std::move(clock)),
      random_(std::move(random)),
      started_at_(clock_()),
      timer_(loop) {}

void SpendingMark::Request() {
  if (!marked_ && !requested_) {
    requested_ = true;
    timer_.cancel();
  }
}

Awaitable<void> SpendingMark::Run() {
  co_await MarkStart();
  const base::Duration left = started_at_ + options_.count_time - clock_();
  if (left > base::Duration::zero()) {
    asio::steady_timer start(loop_, left);
    ErrorCode ec;
    co_await start.async_wait(Into(ec));
  }
  marked_ = written_;
  hooks_.on_marked(marked_);
  while (true) {
    if (marked_ && !hooks_.needs_mark()) {
      marked_ = false;
      hooks_.on_marked(false);
    }
    if (!marked_ && requested_) {
      co_await Write();
    } else if (!marked_ && written_) {
      co_await Remove();
    }
    requested_ = requested_ && !marked_;
    co_await Wait(options_.poll_interval);
  }
}

std::string SpendingMark::Key() const {
  return options_.prefix + options_.instance.str();
}

// A lost answer to the call may leave a mark of this lifetime's own, which the
// next call cannot tell from an earlier one's.
Awaitable<void> SpendingMark::MarkStart() {
  while (!written_ && clock_() < started_at_ + options_.count_time) {
    store::StoreFault fault{};
    const auto created = co_await store_.Update(Key(), {}, store::LeaseId(0),
                                                base::Revision(0), &fault);
    const bool unmarked = created.has_value();
    written_ = unmarked || fault == store::StoreFault::kConflict;
    if (written_) {
      Log(LogLevel::kInfo, "start_marked",
          {{"after_mark", !unmarked},
           {"age_ms", base::ToMillis(clock_() - started_at_)}});
    } else {
      Log(LogLevel::kInfo, "start_not_marked", {{"fault", ToString(fault)}});
      co_await Wait(options_.retry_interval);
    }
    if (unmarked) {
      hooks_.on_unmarked_start();
    }
  }
}

Awaitable<void> SpendingMark::Write() {
  store::StoreFault fault{};
  written_ = true;
  const auto written =
      co_await store_.Put(Key(), {}, store::LeaseId(0), &fault);
  marked_ = written.has_value();
  Log(LogLevel::kInfo, marked_ ? "spending_marked" : "spending_not_marked",
      {{"fault", marked_ ? std::string_view() : ToString(fault)}});
  if (marked_) {
    hooks_.on_marked(true);
  }
}

// Conditional on the revision: a removal that is carried out late must not
// remove a later mark.
Awaitable<void> SpendingMark::Remove() {
  store::StoreFault fault{};
  const auto mark = co_await store_.Get(Key(), &fault);
  bool removed = mark && mark->deleted;
  if (mark && !mark->deleted) {
    removed =
        (co_await store_.Remove(Key(), mark->revision, &fault)).has_value();
  }
  written_ = !removed;
  Log(LogLevel::kInfo, removed ? "spending_unmarked" : "spending_mark_left",
      {{"fault", removed ? std::string_view() : ToString(fault)}});
}

Awaitable<void> SpendingMark::Wait(base::Duration wait) {
  const auto extra = std::chrono::duration_cast<base::Duration>(
      base::UniformReal(random_) * wait);
  timer_.expires_after(wait + extra);
  ErrorCode ec;
  co_await timer_.async_wait(Into(ec));
}

}  // namespace lynxglade::process::peers
