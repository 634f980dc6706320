// One request's run through the relay; details of relay.h. Its flow is in
// relay_run.cc, its attempts at targets in relay_attempt.cc, its end in
// relay_report.cc.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_RELAY_RUN_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_RELAY_RUN_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "connection/event/exchange.h"
#include "request/passthrough/event_splitter.h"
#include "request/passthrough/relay.h"

namespace lynxglade::request::passthrough {

// Why a request ended without a target's answer; each has a counter
// lynxglade_refusals_total{reason=...}.
enum class EndReason {
  kStopping,
  kNoConfiguration,
  kNoRoute,
  kMalformedTerms,
  kNoService,
  kNoTarget,
  kWaitTooLong,
  kNoCapacity,
  kRetryBudget,
  kRejected,
  kUnknownOutcome,
  kTimeout,
};
std::string_view ToString(EndReason reason) noexcept;

// How one attempt at a target ended.
enum class AttemptEnd {
  // The caller has the whole answer, or can get no more of it.
  kFinished,
  // The target did not run the request.
  kNotRun,
  // The target answered with a failure, which is kept.
  kFailed,
  // It may have run.
  kUnknown,
  // A stream broke off after events that the caller has.
  kBroken,
  // The caller left or the time is up.
  kStopped,
};
std::string_view ToString(AttemptEnd end) noexcept;

class RelayRun {
 public:
  RelayRun(RelayDependencies& parts,
           const RelayOptions& options,
           std::shared_ptr<connection::event::CallerRequest> request,
           connection::event::CallerReply& reply);
  ~RelayRun();
  RelayRun(const RelayRun&) = delete;
  RelayRun& operator=(const RelayRun&) = delete;

  connection::event::Awaitable<void> Run();

 private:
  template <typename T>
  using Awaitable = connection::event::Awaitable<T>;
  using Exchange = connection::event::Exchange;

  // Finds route, service and deadline; a reason if the request ends here.
  std::optional<EndReason> Admit();
  void SetDeadline(std::optional<base::Duration> timeout);
  void StartTimer();
  // Attempts until one is final.
  Awaitable<void> RunAttempts();
  EnginePick Pick();
  // This instance's part of the connections that a target takes.
  int MaxInFlight() const;
  // The first attempt's engines; decides whether the request is late.
  EnginePick PickFirst();
  // Why the first attempt is better not made, if so.
  std::optional<EndReason> CheckFirstAttempt(const EnginePick& pick) const;
  // How long the caller will wait for the first byte.
  base::Duration FirstByteTimeout() const;
  // 0 is the most urgent; late requests come after all that can be in time.
  int Priority() const noexcept;
  // Sets aside what an attempt adds to the request's first arrival; waits a
  // little for loans if the share is used up. Nothing if it is denied.
  Awaitable<std::optional<ReservedArrivals>> ReserveRetry(
      const EnginePick& pick,
      AttemptEnd after);
  Awaitable<AttemptEnd> Attempt(EnginePick pick);
  // Has the prompt read and sets source_; false if that failed. The arrival is
  // paid for if it counts.
  Awaitable<bool> PrefillPrompt(const EnginePick& pick);
  // Tries to pay until it succeeds; false after a little, or once the request
  // is stopped.
  Awaitable<bool> WaitForBudget(const std::function<bool(base::Time now)>& pay);
  // As PrefillPrompt(); `may_count` is set if the reading reached its engine
  // and was not accepted.
  Awaitable<bool> SendPrefill(const EnginePick& pick, bool* may_count);
  // What a read tells of its engine.
  void RecordPrefill(const EnginePick& pick, base::Duration took);
  // Gives back KV cache that no engine will fetch.
  Awaitable<void> ReleaseKvSource();
  // A run that was to fetch KV cache was rejected: for the engine's own
  // reasons, or since the cache is not to be had.
  Awaitable<void> HandleRejectedFetch(const Engine& runner);
  Awaitable<AttemptEnd> SendRequest(const EnginePick& pick);
  // `entry_changes`: of the target's entry when the request was sent.
  Awaitable<AttemptEnd> HandleAnswer(Exchange& exchange,
                                     const EngineHandle& target,
                                     int entry_changes);
  Awaitable<AttemptEnd> ForwardBuffered(Exchange& exchange,
                                        const EngineHandle& target);
  Awaitable<AttemptEnd> ForwardStream(Exchange& exchange,
                                      const EngineHandle& target);
  // `events`: that the piece completes.
  Awaitable<bool> ForwardPiece(Exchange& exchange,
                               Engine& target,
                               int events,
                               std::string_view bytes);
  // The piece came `took` after the one before it.
  void RecordPace(Engine& target, int events, base::Duration took);
  AttemptEnd EndAfterFailure(Exchange& exchange, const EngineHandle& target);
  // Whether another attempt may follow.
  bool MayRetry(AttemptEnd end) const;
  Awaitable<void> Finish(AttemptEnd end);
  Awaitable<void> Refuse(EndReason reason);
  Awaitable<void> SendSavedAnswer();
  // A request is about to go to the engine.
  void RecordAttempt(Engine& engine);
  // How far it got there.
  void RecordReach(const Engine& engine, const Exchange& exchange);
  // `runner` did not run the request.
  void RecordRejection(Engine& runner, const AnswerInfo& facts);
  void RecordLoad(Engine& engine, const AnswerInfo& facts);
  connection::event::OutgoingRequest Message(const SendTerms& terms) const;
  connection::event::AnswerFilter AnswerFilter() const;
  base::Duration Elapsed() const;
  base::Duration TimeLeft() const;
  bool Stopped() const noexcept;
  // The state of the engine for which the first attempt was not made.
  void LogNotAttempted(const EnginePick& pick, EndReason reason) const;
  void LogAttempt(const EnginePick& pick, AttemptEnd end) const;
  void LogEnd() const;

  RelayDependencies& parts_;
  const RelayOptions& options_;
  std::shared_ptr<connection::event::CallerRequest> request_;
  connection::event::CallerReply& reply_;
  connection::event::asio::steady_timer timer_;
  // For handlers that may outlive this object.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  Exchange* current_ = nullptr;

  std::shared_ptr<const RouteTable> table_;
  const Route* route_ = nullptr;
  base::ServiceName service_;
  RequestTerms terms_;
  base::Time deadline_{};
  bool expired_ = false;
  // It will miss its goal, and gives way to those that can be in time.
  bool late_ = false;

  std::vector<base::TargetId> tried_;
  // Attempts that ran or may have run.
  int runs_ = 0;
  int rejections_ = 0;
  int failed_prefills_ = 0;
  // Engines that could not be reached; that costs nobody anything but time.
  int unreachable_ = 0;
  // Calls that may have reached an engine.
  int arrivals_ = 0;
  // Calls to have the prompt read that an engine accepted; the first is free.
  int accepted_prefills_ = 0;
  // A first reading could not be paid for if it was rejected: the engine that
  // runs the request reads, if that holds up nothing.
  bool prefill_denied_ = false;
  // KV cache of this request's prompt that waits to be fetched.
  std::optional<KvSource> source_;
  bool outcome_unknown_ = false;
  EventSplitter events_;
  // A failure that a target answered with, for the caller if no other attempt
  // does better.
  struct SavedAnswer {
    connection::event::AnswerHead head;
    std::string body;
  };
  std::optional<SavedAnswer> saved_answer_;
  // For the log lines: when the prompt was read and when the answer's first
  // bytes came, both since the request's arrival.
  std::optional<base::Duration> prefilled_at_;
  std::optional<base::Duration> first_bytes_at_;
  base::Duration last_bytes_at_{};
  base::Duration longest_pause_{};
  unsigned status_ = 0;
  std::string_view ended_by_ = "answer";
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_RELAY_RUN_H_
