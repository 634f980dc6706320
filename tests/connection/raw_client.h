// TCP client that sends raw bytes, for malformed requests.
#ifndef LYNXGLADE_TESTS_CONNECTION_RAW_CLIENT_H_
#define LYNXGLADE_TESTS_CONNECTION_RAW_CLIENT_H_

#include <string>
#include <string_view>

namespace lynxglade::tests {

class RawClient {
 public:
  // Connects to 127.0.0.1.
  explicit RawClient(int port);
  ~RawClient();
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  // Returns false if the server has closed the connection.
  bool Send(std::string_view bytes);
  // The server reads the end of the connection, and may still answer.
  void CloseSending();
  // Reads up to the end of the connection.
  std::string ReadToEnd();
  // Reads up to the end of one answer's head.
  std::string ReadHead();
  // Whether the last read found the connection reset.
  bool reset() const noexcept { return reset_; }

 private:
  int socket_;
  bool reset_ = false;
};

}  // namespace lynxglade::tests

#endif  // LYNXGLADE_TESTS_CONNECTION_RAW_CLIENT_H_
