// Latency that an entry instance adds to the first event of a stream on
// loopback: sends the same requests directly to a target and through the
// instance.
//
//   entry_latency DIRECT THROUGH [REQUESTS [TEXT_BYTES]]
//
// DIRECT and THROUGH are HOST:PORT. Requests are POST /demo/x with host "demo",
// sent alternately over one connection to each.
#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

namespace lynxglade {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using Micros = std::chrono::duration<double, std::micro>;

class Caller {
 public:
  Caller(asio::io_context& loop, const std::string& address) : socket_(loop) {
    const std::size_t colon = address.rfind(':');
    socket_.connect(tcp::endpoint(
        asio::ip::make_address(address.substr(0, colon)),
        static_cast<unsigned short>(std::stoi(address.substr(colon + 1)))));
    socket_.set_option(tcp::no_delay(true));
  }

  // Microseconds from the request to the first event.
  double Call(int n, const std::string& body) {
    const std::string request =
        "POST /demo/x HTTP/1.1\r\nHost: demo\r\n"
        "Lynxglade-Attempt-Id: " +
        std::to_string(n) +
        "\r\nLynxglade-Deadline-Ms: 10000\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body;
    const auto begun = Clock::now();
    asio::write(socket_, asio::buffer(request));
    Skip(asio::read_until(socket_, buffer_, "data: "));
    const double took = Micros(Clock::now() - begun).count();
    Skip(asio::read_until(socket_, buffer_, "\r\n0\r\n\r\n"));
    return took;
  }

 private:
  void Skip(std::size_t n) { buffer_.consume(n); }

  tcp::socket socket_;
  asio::streambuf buffer_;
};

double Quantile(std::vector<double>& sorted, double q) {
  return sorted[static_cast<std::size_t>(
      q * static_cast<double>(sorted.size() - 1))];
}

void Print(const char* name, std::vector<double>& times) {
  std::ranges::sort(times);
  std::cout << name << "\tp50 " << Quantile(times, 0.5) / 1000 << " ms\tp95 "
            << Quantile(times, 0.95) / 1000 << " ms\tp99 "
            << Quantile(times, 0.99) / 1000 << " ms\n";
}

int Measure(const std::string& direct,
            const std::string& through,
            int requests,
            std::size_t text_bytes) {
  asio::io_context loop;
  Caller straight(loop, direct);
  Caller relayed(loop, through);
  const std::string body(text_bytes, 'x');
  std::vector<double> straight_times;
  std::vector<double> relayed_times;
  std::vector<double> added;
  for (int i = 0; i < requests; ++i) {
    straight_times.push_back(straight.Call(2 * i, body));
    relayed_times.push_back(relayed.Call(2 * i + 1, body));
    added.push_back(relayed_times.back() - straight_times.back());
  }
  std::cout << requests << " requests of " << text_bytes << " bytes\n";
  Print("direct", straight_times);
  Print("through", relayed_times);
  Print("added", added);
  return 0;
}

}  // namespace
}  // namespace lynxglade

int main(int argc, char** argv) {
  if (argc < 3) {
    std::cerr << "entry_latency DIRECT THROUGH [REQUESTS [TEXT_BYTES]]\n";
    return 2;
  }
  const int requests = argc > 3 ? std::atoi(argv[3]) : 2000;
  const int bytes = argc > 4 ? std::atoi(argv[4]) : 17000;
  try {
    return lynxglade::Measure(argv[1], argv[2], std::max(requests, 1),
                              static_cast<std::size_t>(std::max(bytes, 0)));
  } catch (const std::exception& e) {
    std::cerr << "entry_latency: " << e.what() << "\n";
    return 1;
  }
}
