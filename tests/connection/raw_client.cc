#include "connection/raw_client.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdint>
#include <stdexcept>

namespace lynxglade::tests {

RawClient::RawClient(int port) : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::connect(socket_, reinterpret_cast<sockaddr*>(&address),
                sizeof address) != 0) {
    throw std::runtime_error("cannot connect");
  }
}

RawClient::~RawClient() {
  ::close(socket_);
}

bool RawClient::Send(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t n = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

void RawClient::CloseSending() {
  ::shutdown(socket_, SHUT_WR);
}

std::string RawClient::ReadToEnd() {
  std::string all;
  std::array<char, 4096> buf{};
  ssize_t n = 0;
  while ((n = ::recv(socket_, buf.data(), buf.size(), 0)) > 0) {
    all.append(buf.data(), static_cast<std::size_t>(n));
  }
  reset_ = n < 0;
  return all;
}

std::string RawClient::ReadHead() {
  std::string head;
  char byte = 0;
  while (!head.ends_with("\r\n\r\n") && ::recv(socket_, &byte, 1, 0) == 1) {
    head += byte;
  }
  return head;
}

}  // namespace lynxglade::tests
