// A connected socket as a cpp-httplib stream.
#ifndef LYNXGLADE_FAKES_DETAILS_CONNECTION_STREAM_H_
#define LYNXGLADE_FAKES_DETAILS_CONNECTION_STREAM_H_

#include <array>
#include <cstddef>
#include <string>

#include <httplib.h>

namespace lynxglade::fakes {

// Does not own the socket. Used by one thread.
class ConnectionStream final : public httplib::Stream {
 public:
  explicit ConnectionStream(int fd) noexcept;

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* ptr, std::size_t size) override;
  ssize_t write(const char* ptr, std::size_t size) override;
  void get_remote_ip_and_port(std::string& ip, int& port) const override;
  void get_local_ip_and_port(std::string& ip, int& port) const override;
  int socket() const override { return fd_; }

  // Blocks until bytes can be read; false on timeout, error or end of stream.
  bool WaitReadable(int timeout_ms) const;
  // False once the peer has closed or reset the connection.
  bool IsAlive() const;

 private:
  static constexpr std::size_t kBufferBytes = 4096;

  int fd_;
  std::array<char, kBufferBytes> buf_;
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
};

}  // namespace lynxglade::fakes

#endif  // LYNXGLADE_FAKES_DETAILS_CONNECTION_STREAM_H_
