#include "request/passthrough/send_limits.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace lynxglade::request::passthrough {

namespace {

using base::Log;
using base::LogLevel;

double RateOrNone(const std::optional<base::PerSecond>& rate) {
  return rate ? rate->value() : -1;
}

double SendsWithin(base::PerSecond rate) {
  return rate.value() * std::chrono::duration<double>(kLimitWindow).count();
}

}  // namespace

SendLimits::SendLimits(SendLimitsOptions options,
                       SendLimitsHooks hooks,
                       base::Clock clock,
                       base::Metrics& metrics)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      clock_(std::move(clock)),
      metrics_(metrics),
      started_at_(clock_()) {}

NamedLimit::Change SendLimits::Observe(Engine& engine,
                                       const LimitStatement& statement,
                                       const AnswerTimes& times,
                                       const LimitSource& source) {
  EngineLimit& limit = engine.limit;
  const base::Time now = clock_();
  if (statement.kind == LimitStatement::Kind::kMalformed &&
      !std::exchange(limit.malformed_logged, true)) {
    Log(LogLevel::kWarning, "limit_malformed",
        {{"target", engine.entry.id.str()},
         {"value", statement.malformed_value}});
  }
  const NamedLimit::Change change = limit.named.Observe(statement, times);
  if (change == NamedLimit::Change::kNone) {
    return change;
  }
  if (change == NamedLimit::Change::kNamed) {
    limit.named_at = now;
  } else if (change == NamedLimit::Change::kEnded) {
    limit.share.reset();
  }
  LogChange(engine, change, times, source, now);
  if (hooks_.on_own_change && std::holds_alternative<std::string>(source)) {
    hooks_.on_own_change(engine, times);
  }
  return change;
}

bool SendLimits::MaySend(Engine& engine, base::Time now) {
  return NextSend(engine, now) <= now;
}

base::Time SendLimits::NextSend(Engine& engine, base::Time now) {
  EngineLimit& limit = engine.limit;
  if (!limit.named.rate()) {
    return now;
  }
  const LimitShare& share = ShareOf(engine, now);
  const bool is_stale = share.senders < share.instances &&
                        hooks_.view_age() > options_.max_view_age;
  base::Time next = now;
  if (!share.is_sender) {
    next = NextProbe(limit, now);
  } else if (is_stale) {
    next = now + options_.takeover_delay;
  } else {
    next = NextAsSender(limit, now);
  }
  // Requests of a time with a higher limit, or with none, have to leave the
  // window first.
  if (limit.sends.Total(now) > SendsWithin(share.rate)) {
    next = std::max(next, limit.sends.ExpiryOfOldest());
  }
  return next;
}

base::Time SendLimits::NextAsSender(const EngineLimit& limit,
                                    base::Time now) const {
  const base::Time permitted = limit.send_due - SendInterval(limit.share->rate);
  return std::max({now, limit.sender_from, permitted});
}

base::Time SendLimits::NextProbe(const EngineLimit& limit,
                                 base::Time now) const {
  const LimitShare& share = *limit.share;
  const base::Time slot = ProbeSlotBegin(share, limit.named_at, now);
  if (!limit.last_send || *limit.last_send < slot) {
    return std::max(slot, now);
  }
  return slot + share.probe_cycle;
}

void SendLimits::OnSend(Engine& engine, base::Time now) {
  EngineLimit& limit = engine.limit;
  limit.sends.Add(1, now);
  limit.last_send = now;
  if (limit.share && limit.share->is_sender) {
    limit.send_due =
        std::max(limit.send_due, now) + SendInterval(limit.share->rate);
  }
}

SendLimits::Claim::Claim(SendLimits& limits, const base::ServiceName& service)
    : claims_(limits.claims_[service]) {
  ++claims_;
}

SendLimits::Claim::~Claim() {
  --claims_;
}

bool SendLimits::MayClaim(const base::ServiceName& service,
                          const std::vector<EngineHandle>& targets,
                          base::Duration time,
                          base::Time now) {
  double permits = 0;
  for (const EngineHandle& engine : targets) {
    if (!engine->limit.named.rate()) {
      return true;
    }
    const base::Duration wait = NextSend(*engine, now) - now;
    if (wait <= time) {
      const base::Duration interval = SendInterval(engine->limit.share->rate);
      permits +=
          1 + base::ToFineMillis(time - wait) / base::ToFineMillis(interval);
    }
  }
  return claims_[service] + 1 <= permits;
}

const LimitShare& SendLimits::ShareOf(Engine& engine, base::Time now) {
  const EngineLimit& limit = engine.limit;
  const bool is_current = limit.share &&
                          limit.share_of == *limit.named.rate() &&
                          limit.members_version == hooks_.members_version() &&
                          limit.instance_count == hooks_.instance_count();
  if (!is_current) {
    SelectShare(engine, now);
  }
  return *limit.share;
}

void SendLimits::SelectShare(Engine& engine, base::Time now) {
  EngineLimit& limit = engine.limit;
  const std::uint64_t version = hooks_.members_version();
  if (fleet_.members.empty() || fleet_version_ != version) {
    fleet_.members = hooks_.members();
    fleet_version_ = version;
  }
  fleet_.instance_count = hooks_.instance_count();
  const std::optional<LimitShare> before = limit.share;
  limit.share_of = *limit.named.rate();
  limit.members_version = version;
  limit.instance_count = fleet_.instance_count;
  limit.share =
      hooks_.select_share(limit.share_of, engine.entry.id, engine.entry.zone,
                          options_.instance, fleet_);
  const LimitShare& share = *limit.share;
  if (share.senders == share.instances) {
    limit.sender_from = {};
  } else if (share.is_sender && !before) {
    // An instance that has just started may replace another one.
    limit.sender_from = started_at_ + options_.takeover_delay;
  } else if (share.is_sender && !before->is_sender) {
    limit.sender_from = now + options_.takeover_delay;
  }
  if (!before || before->is_sender != share.is_sender) {
    LogShare(engine, now);
  }
}

void SendLimits::LogChange(Engine& engine,
                           NamedLimit::Change change,
                           const AnswerTimes& times,
                           const LimitSource& source,
                           base::Time now) {
  const auto* request = std::get_if<std::string>(&source);
  const auto* peer = std::get_if<base::InstanceId>(&source);
  metrics_
      .GetCounter("lynxglade_limit_changes_total",
                  {{"change", std::string(ToString(change))},
                   {"source", request ? "answer" : "peer"}})
      .Add();
  Log(LogLevel::kInfo, "limit_changed",
      {{"target", engine.entry.id.str()},
       {"service", engine.entry.service.str()},
       {"change", ToString(change)},
       {"per_second", RateOrNone(engine.limit.named.rate())},
       {"request", request ? *request : std::string()},
       {"peer", peer ? peer->str() : std::string()},
       {"asked_ms_ago", base::ToMillis(now - times.sent_at)},
       {"own_sends",
        static_cast<std::int64_t>(engine.limit.sends.Total(now))}});
}

void SendLimits::LogShare(const Engine& engine, base::Time now) const {
  const EngineLimit& limit = engine.limit;
  const LimitShare& share = *limit.share;
  Log(LogLevel::kInfo, "limit_share",
      {{"target", engine.entry.id.str()},
       {"per_second", RateOrNone(limit.named.rate())},
       {"limit_age_ms", base::ToMillis(now - limit.named.received_at())},
       {"sender", share.is_sender},
       {"senders", share.senders},
       {"instances", share.instances},
       {"instances_age_ms", base::ToMillis(hooks_.view_age())},
       {"share_per_second", share.rate.value()},
       {"waits_ms",
        base::ToMillis(std::max(limit.sender_from - now, base::Duration(0)))}});
}

}  // namespace lynxglade::request::passthrough
