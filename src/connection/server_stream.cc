#include "connection/server_stream.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <climits>
#include <cstring>
#include <string_view>

#include <openssl/err.h>
#include <openssl/ssl.h>

namespace lynxglade::connection {

namespace {

using Steady = std::chrono::steady_clock;

constexpr std::size_t kReceiveBytes = 16u << 10;
constexpr std::chrono::milliseconds kAwaitSlice{200};
// Slower callers run into the write timeout.
constexpr std::size_t kMinBytesPerSecond = 16u << 10;
constexpr std::string_view kRangeName = "range:";
// Same length as kRangeName, so that the head can be changed in place.
constexpr std::string_view kHiddenRange = "x-rng:";

bool MustWait() {
  return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

// Returns the position after the empty line that ends the head, or npos if it
// has not arrived. The search starts at `from`. The HTTP library accepts only
// "\r\n" as the end of a line.
std::size_t FindHeadEnd(const std::string& text, std::size_t from) {
  if (from == 0 && text.starts_with("\r\n")) {
    return 2;
  }
  const auto end = text.find("\n\r\n", from);
  return end == std::string::npos ? end : end + 3;
}

bool EqualIgnoringCase(std::string_view a, std::string_view b) {
  return std::ranges::equal(a, b, [](unsigned char x, unsigned char y) {
    return std::tolower(x) == std::tolower(y);
  });
}

}  // namespace

ServerStream::ServerStream(socket_t socket, const ServerStreamLimits& limits)
    : socket_(socket), limits_(limits), ssl_(nullptr, &SSL_free) {
  ::fcntl(socket_, F_SETFL, ::fcntl(socket_, F_GETFL, 0) | O_NONBLOCK);
}

ServerStream::~ServerStream() = default;

// --- Life of a connection ---------------------------------------------------

bool ServerStream::Handshake(const TlsMaterial::ContextPtr& context) {
  // The connection keeps its own reference to the context.
  ssl_.reset(context ? SSL_new(context.get()) : nullptr);
  if (!ssl_ || SSL_set_fd(ssl_.get(), socket_) != 1) {
    return false;
  }
  const SteadyTime deadline = Steady::now() + limits_.handshake_timeout;
  bool timed_out = false;
  while (true) {
    ERR_clear_error();
    const int result = SSL_accept(ssl_.get());
    if (result == 1) {
      return true;
    }
    if (!WaitForTls(result, deadline, &timed_out)) {
      broken_ = true;
      return false;
    }
  }
}

bool ServerStream::AwaitRequest(base::Duration timeout,
                                const std::function<bool()>& should_stop) {
  const SteadyTime deadline = Steady::now() + timeout;
  while (!HasInput()) {
    const SteadyTime now = Steady::now();
    if (now >= deadline || should_stop()) {
      return false;
    }
    if (WaitFor(POLLIN, std::min(deadline, now + kAwaitSlice))) {
      return true;
    }
  }
  return true;
}

ServerStream::Verdict ServerStream::ReadHead() {
  input_.erase(0, input_read_);
  input_read_ = 0;
  const SteadyTime deadline = Steady::now() + limits_.head_timeout;
  std::size_t end = FindHeadEnd(input_, 0);
  while (end == std::string::npos) {
    if (input_.size() >= limits_.max_head_bytes) {
      return Verdict::kTooLarge;
    }
    std::array<char, kReceiveBytes> buf{};
    const std::size_t room = limits_.max_head_bytes - input_.size();
    const ssize_t n = Receive(buf.data(), std::min(buf.size(), room), deadline);
    if (n <= 0) {
      return n == 0 ? Verdict::kClosed : Verdict::kTooSlow;
    }
    // The end of the head may be split across two reads.
    const std::size_t from = input_.size() < 2 ? 0 : input_.size() - 2;
    input_.append(buf.data(), static_cast<std::size_t>(n));
    end = FindHeadEnd(input_, from);
  }
  const auto lines = static_cast<std::size_t>(std::count(
      input_.begin(), input_.begin() + static_cast<long>(end), '\n'));
  if (lines > limits_.max_header_lines) {
    return Verdict::kTooLarge;
  }
  HideRange(end);
  head_left_ = end;
  body_bytes_ = 0;
  body_deadline_ = {};
  body_verdict_ = Verdict::kGood;
  return Verdict::kGood;
}

void ServerStream::HideRange(std::size_t head_size) {
  std::size_t line = 0;
  while (line < head_size) {
    const std::string_view name(input_.data() + line,
                                std::min(kRangeName.size(), head_size - line));
    if (EqualIgnoringCase(name, kRangeName)) {
      input_.replace(line, kHiddenRange.size(), kHiddenRange);
    }
    line = input_.find('\n', line) + 1;
  }
}

void ServerStream::CloseWithLinger(base::Duration timeout) {
  if (broken_) {
    return;
  }
  if (ssl_) {
    ERR_clear_error();
    SSL_shutdown(ssl_.get());
  }
  ::shutdown(socket_, SHUT_WR);
  const SteadyTime deadline = Steady::now() + timeout;
  std::array<char, kReceiveBytes> buf{};
  while (Steady::now() < deadline &&
         ReceivePlain(buf.data(), buf.size(), deadline) > 0) {
  }
}

bool ServerStream::PeerClosed() const {
  pollfd entry{socket_, POLLRDHUP, 0};
  return ::poll(&entry, 1, 0) > 0 &&
         (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

// --- httplib::Stream --------------------------------------------------------

bool ServerStream::is_readable() const {
  return HasInput() || WaitFor(POLLIN, Steady::now() + limits_.body_timeout);
}

bool ServerStream::is_writable() const {
  return !PeerClosed() &&
         WaitFor(POLLOUT, Steady::now() + limits_.write_timeout);
}

ssize_t ServerStream::read(char* ptr, std::size_t size) {
  if (head_left_ > 0) {
    const std::size_t n = std::min(size, head_left_);
    std::memcpy(ptr, input_.data() + input_read_, n);
    input_read_ += n;
    head_left_ -= n;
    return static_cast<ssize_t>(n);
  }
  if (body_bytes_ >= limits_.max_body_bytes) {
    body_verdict_ = Verdict::kTooLarge;
    return -1;
  }
  if (body_deadline_ == SteadyTime{}) {
    body_deadline_ = Steady::now() + limits_.body_timeout;
  }
  const std::size_t wanted =
      std::min(size, limits_.max_body_bytes - body_bytes_);
  ssize_t n = 0;
  if (input_read_ < input_.size()) {
    n = static_cast<ssize_t>(std::min(wanted, input_.size() - input_read_));
    std::memcpy(ptr, input_.data() + input_read_, static_cast<std::size_t>(n));
    input_read_ += static_cast<std::size_t>(n);
  } else if (wanted < kReceiveBytes) {
    // Buffers input, because the HTTP library reads chunk sizes byte by byte.
    input_.resize(kReceiveBytes);
    input_read_ = 0;
    n = Receive(input_.data(), input_.size(), body_deadline_);
    input_.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
    if (n > 0) {
      return read(ptr, size);
    }
  } else {
    n = Receive(ptr, wanted, body_deadline_);
  }
  if (n <= 0) {
    body_verdict_ = n == 0 ? Verdict::kClosed : Verdict::kTooSlow;
    return -1;
  }
  body_bytes_ += static_cast<std::size_t>(n);
  return n;
}

ssize_t ServerStream::write(const char* ptr, std::size_t size) {
  if (broken_ || PeerClosed()) {
    return -1;
  }
  const SteadyTime deadline = Steady::now() + limits_.write_timeout +
                              std::chrono::seconds(size / kMinBytesPerSecond);
  std::size_t sent = 0;
  while (sent < size) {
    const ssize_t n = SendSome(ptr + sent, size - sent, deadline);
    if (n <= 0) {
      broken_ = true;
      return -1;
    }
    sent += static_cast<std::size_t>(n);
  }
  return static_cast<ssize_t>(size);
}

// The HTTP library only copies the address to request headers, which are
// unused.
void ServerStream::get_remote_ip_and_port(std::string& ip, int& port) const {
  ip.clear();
  port = 0;
}

void ServerStream::get_local_ip_and_port(std::string& ip, int& port) const {
  ip.clear();
  port = 0;
}

// --- The socket -------------------------------------------------------------

ssize_t ServerStream::Receive(char* ptr,
                              std::size_t size,
                              SteadyTime deadline) {
  return ssl_ ? ReceiveTls(ptr, size, deadline)
              : ReceivePlain(ptr, size, deadline);
}

ssize_t ServerStream::ReceivePlain(char* ptr,
                                   std::size_t size,
                                   SteadyTime deadline) {
  while (true) {
    const ssize_t n = ::recv(socket_, ptr, size, MSG_DONTWAIT);
    if (n >= 0) {
      return n;
    }
    if (!MustWait()) {
      return 0;
    }
    if (!WaitFor(POLLIN, deadline)) {
      return -1;
    }
  }
}

ssize_t ServerStream::ReceiveTls(char* ptr,
                                 std::size_t size,
                                 SteadyTime deadline) {
  const int wanted = static_cast<int>(std::min<std::size_t>(size, INT_MAX));
  while (true) {
    ERR_clear_error();
    const int n = SSL_read(ssl_.get(), ptr, wanted);
    if (n > 0) {
      return n;
    }
    bool timed_out = false;
    if (!WaitForTls(n, deadline, &timed_out)) {
      return timed_out ? -1 : 0;
    }
  }
}

ssize_t ServerStream::SendSome(const char* ptr,
                               std::size_t size,
                               SteadyTime deadline) {
  while (true) {
    if (ssl_) {
      ERR_clear_error();
      const int n =
          SSL_write(ssl_.get(), ptr,
                    static_cast<int>(std::min<std::size_t>(size, INT_MAX)));
      bool timed_out = false;
      if (n > 0) {
        return n;
      }
      if (!WaitForTls(n, deadline, &timed_out)) {
        return 0;
      }
      continue;
    }
    const ssize_t n = ::send(socket_, ptr, size, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (n >= 0) {
      return n;
    }
    if (!MustWait() || !WaitFor(POLLOUT, deadline)) {
      return 0;
    }
  }
}

bool ServerStream::WaitForTls(int result,
                              SteadyTime deadline,
                              bool* timed_out) {
  const int reason = SSL_get_error(ssl_.get(), result);
  if (reason == SSL_ERROR_WANT_READ || reason == SSL_ERROR_WANT_WRITE) {
    *timed_out =
        !WaitFor(reason == SSL_ERROR_WANT_READ ? POLLIN : POLLOUT, deadline);
    return !*timed_out;
  }
  // After these errors OpenSSL must not be called again on this connection.
  broken_ = broken_ || reason == SSL_ERROR_SSL || reason == SSL_ERROR_SYSCALL;
  return false;
}

bool ServerStream::WaitFor(short events, SteadyTime deadline) const {
  while (true) {
    const auto left =
        std::chrono::ceil<std::chrono::milliseconds>(deadline - Steady::now());
    pollfd entry{socket_, events, 0};
    const int wait =
        static_cast<int>(std::clamp<std::int64_t>(left.count(), 0, INT_MAX));
    const int n = ::poll(&entry, 1, wait);
    if (n != 0 && !(n < 0 && errno == EINTR)) {
      return n > 0;
    }
    if (n == 0) {
      return false;
    }
  }
}

bool ServerStream::HasInput() const {
  return input_read_ < input_.size() || (ssl_ && SSL_pending(ssl_.get()) > 0);
}

}  // namespace lynxglade::connection
