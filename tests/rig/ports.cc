#include "rig/ports.h"

#include <cstdint>
#include <stdexcept>

namespace lynxglade::rig {

namespace {

using connection::event::ErrorCode;
using connection::event::Tcp;
namespace asio = connection::event::asio;

// Below the range from which the system takes the ports of connections.
constexpr int kFirstPort = 20'000;
constexpr int kPortsPerRun = 250;
constexpr int kMaxRuns = 50;

}  // namespace

asio::ip::udp::socket ReservePorts(asio::io_context& loop) {
  for (int i = 0; i < kMaxRuns; ++i) {
    const auto port = static_cast<std::uint16_t>(kFirstPort + i * kPortsPerRun);
    asio::ip::udp::socket socket(loop);
    ErrorCode ec;
    socket.open(asio::ip::udp::v4(), ec);
    socket.bind({asio::ip::address_v4::loopback(), port}, ec);
    if (!ec) {
      return socket;
    }
  }
  throw std::runtime_error("no free ports");
}

std::vector<int> FindPorts(int first, std::size_t n) {
  asio::io_context loop;
  std::vector<int> ports;
  for (int port = first + 1; ports.size() < n; ++port) {
    if (port >= first + kPortsPerRun) {
      throw std::runtime_error("too few free ports");
    }
    ErrorCode ec;
    Tcp::acceptor acceptor(loop);
    acceptor.open(Tcp::v4(), ec);
    acceptor.set_option(Tcp::acceptor::reuse_address(true), ec);
    acceptor.bind(
        {asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)},
        ec);
    if (!ec) {
      ports.push_back(port);
    }
  }
  return ports;
}

}  // namespace lynxglade::rig
