#include "process/peers/start_mark.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/log.h"
#include "connection/event/sleep.h"

namespace lynxglade::process::peers {

namespace {

using base::Log;
using base::LogLevel;
using connection::event::Awaitable;
using connection::event::SleepFor;
namespace asio = connection::event::asio;

}  // namespace

StartMark::StartMark(asio::io_context& loop,
                     store::StorePort& store,
                     StartMarkOptions options,
                     std::function<void()> on_confirmed,
                     base::Clock clock,
                     base::RandomSource random)
    : loop_(loop),
      store_(store),
      options_(std::move(options)),
      on_confirmed_(std::move(on_confirmed)),
      clock_(std::move(clock)),
      random_(std::move(random)),
      started_at_(clock_()) {}

Awaitable<void> StartMark::Run() {
  co_await Create();
  const base::Duration left = started_at_ + options_.lifetime - clock_();
  if (left > base::Duration::zero()) {
    co_await SleepFor(loop_, left);
  }
  co_await Remove();
}

std::string StartMark::Key() const {
  return options_.prefix + options_.instance.str();
}

// A lost answer to the call may leave a mark of this lifetime's own, which the
// next call cannot tell from an earlier one's.
Awaitable<void> StartMark::Create() {
  while (clock_() < started_at_ + options_.lifetime) {
    store::StoreFault fault{};
    const auto created = co_await store_.Update(Key(), {}, store::LeaseId(0),
                                                base::Revision(0), &fault);
    const bool confirmed = created.has_value();
    if (confirmed || fault == store::StoreFault::kConflict) {
      Log(LogLevel::kInfo, "start_marked",
          {{"confirmed", confirmed},
           {"age_ms", base::ToMillis(clock_() - started_at_)}});
      if (confirmed) {
        on_confirmed_();
      }
      co_return;
    }
    Log(LogLevel::kInfo, "start_not_marked", {{"fault", ToString(fault)}});
    co_await Wait();
  }
}

// The mark may be an earlier lifetime's. This one is the last that started.
Awaitable<void> StartMark::Remove() {
  while (true) {
    store::StoreFault fault{};
    const auto mark = co_await store_.Get(Key(), &fault);
    if (mark && mark->deleted) {
      co_return;
    }
    if (mark && co_await store_.Remove(Key(), mark->revision, &fault)) {
      co_return;
    }
    Log(LogLevel::kInfo, "start_mark_not_removed",
        {{"fault", ToString(fault)}});
    co_await Wait();
  }
}

Awaitable<void> StartMark::Wait() {
  const auto extra = std::chrono::duration_cast<base::Duration>(
      base::UniformReal(random_) * options_.retry_interval);
  co_await SleepFor(loop_, options_.retry_interval + extra);
}

}  // namespace lynxglade::process::peers
