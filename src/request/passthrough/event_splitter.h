// Splits a stream of server-sent events at event boundaries, so that only
// complete events are forwarded and a stream can be resumed at another engine.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_EVENT_SPLITTER_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_EVENT_SPLITTER_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace lynxglade::request::passthrough {

class EventSplitter {
 public:
  // Takes the next bytes; returns the events that they complete.
  std::string Feed(std::string_view bytes);
  // Drops an incomplete event before another engine resumes the stream.
  void DiscardPartial() noexcept { partial_.clear(); }

  // The bytes of the incomplete event.
  const std::string& partial() const noexcept { return partial_; }
  // Id of the last complete event with an id; empty if there was none.
  const std::string& last_id() const noexcept { return last_id_; }
  // Number of complete events with an id.
  int events() const noexcept { return events_; }

 private:
  void RecordIds(std::string_view events);

  std::string partial_;
  std::string last_id_;
  int events_ = 0;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_EVENT_SPLITTER_H_
