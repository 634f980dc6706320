// An HTTP connection to a target that tells whether a chunked answer was read
// to its end. Private to TargetClient; exposes HTTP library types, so it is
// included from .cc files only.
//
// The HTTP library takes a chunked body for complete if the connection ends, or
// anything else follows, behind one of its chunks.
#ifndef LYNXGLADE_CONNECTION_TARGET_CONNECTION_H_
#define LYNXGLADE_CONNECTION_TARGET_CONNECTION_H_

#include <functional>
#include <string>

#include <httplib.h>

namespace lynxglade::connection {

// Not thread-safe, but for stop().
class TargetConnection : public httplib::ClientImpl {
 public:
  TargetConnection(const std::string& address, int port)
      : httplib::ClientImpl(address, port) {}

  // Whether the last answer ended with an empty line, as a chunked one does.
  bool ended_with_empty_line() const noexcept {
    return last_bytes_.ends_with("\n\r\n");
  }

 private:
  bool process_socket(
      const Socket& socket,
      std::function<bool(httplib::Stream& stream)> callback) override;

  // That were read of the last answer; a few.
  std::string last_bytes_;
};

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_TARGET_CONNECTION_H_
