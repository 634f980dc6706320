// Cuts a byte stream of server-sent events at the ends of events, so that only
// whole events are passed on and a stream can go on at another engine.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_EVENT_SPLITTER_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_EVENT_SPLITTER_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace lynxglade::request::passthrough {

class EventSplitter {
 public:
  // Takes the next bytes; returns the whole events that they complete.
  std::string Feed(std::string_view bytes);
  // Forgets a torn event, before another engine goes on.
  void DiscardPartial() noexcept { partial_.clear(); }

  // The bytes of an event that has not ended.
  const std::string& partial() const noexcept { return partial_; }
  // The id of the last whole event; empty if none had one.
  const std::string& last_id() const noexcept { return last_id_; }
  // Whole events with an id so far.
  int events() const noexcept { return events_; }

 private:
  void RecordIds(std::string_view events);

  std::string partial_;
  std::string last_id_;
  int events_ = 0;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_EVENT_SPLITTER_H_
