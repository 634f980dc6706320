// Why a caller's request could not be read, and what is answered.
#ifndef LYNXGLADE_CONNECTION_EVENT_CALLER_FAULTS_H_
#define LYNXGLADE_CONNECTION_EVENT_CALLER_FAULTS_H_

#include "connection/event/http_types.h"

namespace lynxglade::connection::event {

// Why the next request of a connection could not be read.
enum class ReadFault {
  kClosed,
  kIdle,
  kSlow,
  kMalformed,
  kHeadTooLarge,
  kBodyTooLarge,
  kMemory,
  kOverloaded,
  // The process is about to end.
  kStopping,
};

struct FaultAnswer {
  ReadFault fault;
  // 0 closes the connection without an answer.
  unsigned status;
  const char* name;
};
const FaultAnswer& AnswerTo(ReadFault fault);
// The fault behind an error of the parser or the connection.
ReadFault FaultOf(const ErrorCode& ec);

// Whether the end of the body is unambiguous: either chunked, or at most one
// Content-Length.
bool HasUnambiguousLength(const RequestHead& head);

}  // namespace lynxglade::connection::event

#endif  // LYNXGLADE_CONNECTION_EVENT_CALLER_FAULTS_H_
