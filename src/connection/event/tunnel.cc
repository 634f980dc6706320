#include "connection/event/tunnel.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "base/time.h"
#include "connection/event/connect.h"
#include "connection/event/input_end.h"
#include "connection/event/message_parser.h"
#include "connection/event/socket_probe.h"
#include "connection/event/tasks.h"

namespace lynxglade::connection::event {

namespace {

constexpr std::string_view kTargetIdField = "Target-Id";
constexpr unsigned kHttp11 = 11;
constexpr std::size_t kPieceBytes = 8192;
constexpr std::uint32_t kMaxReplyBytes = 4096;

struct ReplyStatus {
  TunnelReply reply;
  http::status status;
  const char* name;
};

constexpr std::array kReplyStatuses{
    ReplyStatus{TunnelReply::kOpened, http::status::switching_protocols,
                "opened"},
    ReplyStatus{TunnelReply::kTargetRefused, http::status::bad_gateway,
                "target_refused"},
    ReplyStatus{TunnelReply::kTargetSilent, http::status::gateway_timeout,
                "target_silent"},
    ReplyStatus{TunnelReply::kNoOwnWay, http::status::loop_detected,
                "no_own_way"},
    ReplyStatus{TunnelReply::kTargetUnreached, http::status::failed_dependency,
                "target_unreached"},
    ReplyStatus{TunnelReply::kBusy, http::status::service_unavailable, "busy"},
    ReplyStatus{TunnelReply::kForbidden, http::status::forbidden, "forbidden"},
    ReplyStatus{TunnelReply::kNoReply, http::status::unknown, "no_reply"},
};

const ReplyStatus& RowOf(TunnelReply reply) {
  return *std::ranges::find(kReplyStatuses, reply, &ReplyStatus::reply);
}

TunnelReply ReplyOf(http::status status) {
  const auto* const it =
      std::ranges::find(kReplyStatuses, status, &ReplyStatus::status);
  return it == kReplyStatuses.end() ? TunnelReply::kNoReply : it->reply;
}

// The two directions of a tunnel.
struct Tunnel {
  Tunnel(asio::io_context& l, Tcp::socket& n, Tcp::socket& f, TunnelOptions o)
      : near(n),
        far(f),
        options(o),
        watch(l),
        near_ended(l),
        far_input(f.get_executor()) {}

  void ResetBoth() {
    ResetSocket(near);
    ResetSocket(far);
  }

  // Nothing more is read from `near`.
  void End() {
    ended = true;
    watch.cancel();
    near_ended.cancel();
  }

  Tcp::socket& near;
  Tcp::socket& far;
  const TunnelOptions options;
  // Pending while bytes that the target has not acknowledged may be out.
  asio::steady_timer watch;
  bool watching = false;
  base::Time last_write{};
  // Cancelled by End().
  asio::steady_timer near_ended;
  bool ended = false;
  InputEnd far_input;
};

void WatchFar(const std::shared_ptr<Tunnel>& tunnel, base::Duration wait) {
  tunnel->watching = true;
  tunnel->watch.expires_after(wait);
  tunnel->watch.async_wait([tunnel](const ErrorCode& ec) {
    tunnel->watching = false;
    if (ec || tunnel->ended || !tunnel->far.is_open() ||
        UnacknowledgedBytes(tunnel->far) == 0) {
      return;
    }
    const base::Duration left = tunnel->last_write +
                                tunnel->options.acknowledge_timeout -
                                base::BootClock::now();
    if (left > base::Duration::zero()) {
      WatchFar(tunnel, left);
    } else {
      tunnel->ResetBoth();
    }
  });
}

// A target that has closed its side may still have sent an answer that is on
// the way. It takes no more bytes, but what the asker sends is read: the answer
// would be lost with a connection that is closed before.
Awaitable<void> CopyToFar(std::shared_ptr<Tunnel> tunnel) {
  std::array<char, kPieceBytes> buf{};
  ErrorCode ec;
  bool far_takes = true;
  while (!ec) {
    const std::size_t n =
        co_await tunnel->near.async_read_some(asio::buffer(buf), Into(ec));
    if (ec == asio::error::eof) {
      CloseSocket(tunnel->far);
    } else if (ec) {
      ResetSocket(tunnel->far);
    } else if (far_takes) {
      tunnel->last_write = base::BootClock::now();
      if (!tunnel->watching) {
        WatchFar(tunnel, tunnel->options.acknowledge_timeout);
      }
      tunnel->far_input.OnWriteBegun();
      co_await asio::async_write(tunnel->far, asio::buffer(buf.data(), n),
                                 Into(ec));
      tunnel->far_input.OnWriteEnded(ec);
      if (ec == asio::error::broken_pipe) {
        far_takes = false;
        ec = {};
      } else if (ec) {
        tunnel->ResetBoth();
      }
    }
  }
}

// The asker learns of a close by the target only after its last byte.
Awaitable<void> CopyToNear(std::shared_ptr<Tunnel> tunnel) {
  std::array<char, kPieceBytes> buf{};
  ErrorCode ec;
  while (!ec) {
    const std::size_t n =
        co_await tunnel->far.async_read_some(asio::buffer(buf), Into(ec));
    bool orderly = false;
    if (ec == asio::error::eof) {
      orderly = co_await tunnel->far_input.IsOrderly(tunnel->far);
    }
    if (orderly) {
      SetResetOnClose(tunnel->near, false);
      ErrorCode ignored;
      std::ignore = tunnel->near.shutdown(Tcp::socket::shutdown_send, ignored);
    } else if (ec) {
      ResetSocket(tunnel->near);
    } else {
      co_await asio::async_write(tunnel->near, asio::buffer(buf.data(), n),
                                 Into(ec));
      if (ec) {
        tunnel->ResetBoth();
      }
    }
  }
}

}  // namespace

std::string_view ToString(TunnelReply reply) noexcept {
  return RowOf(reply).name;
}

unsigned ToStatus(TunnelReply reply) noexcept {
  return static_cast<unsigned>(RowOf(reply).status);
}

OutgoingRequest MakeTunnelRequest(std::string_view target_id) {
  OutgoingRequest request(http::verb::get, "/tunnel", kHttp11);
  request.set(http::field::host, "instance");
  request.set(http::field::connection, "Upgrade");
  request.set(http::field::upgrade,
              boost::beast::string_view(kTunnelProtocol.data(),
                                        kTunnelProtocol.size()));
  request.set(
      boost::beast::string_view(kTargetIdField.data(), kTargetIdField.size()),
      boost::beast::string_view(target_id.data(), target_id.size()));
  return request;
}

bool IsTunnelRequest(const RequestHead& head) {
  return View(head[http::field::upgrade]) == kTunnelProtocol;
}

std::string TunnelTarget(const RequestHead& head) {
  return std::string(View(head[boost::beast::string_view(
      kTargetIdField.data(), kTargetIdField.size())]));
}

Awaitable<TunnelReply> OpenTunnel(asio::io_context& loop,
                                  std::shared_ptr<Tcp::socket> socket,
                                  Tcp::endpoint process,
                                  std::string target_id,
                                  base::Duration timeout) {
  const base::Time began = base::BootClock::now();
  const ConnectEnd connected = co_await Connect(loop, socket, process, timeout);
  if (connected != ConnectEnd::kConnected) {
    co_return TunnelReply::kNoReply;
  }
  asio::steady_timer timer(loop, began + timeout - base::BootClock::now());
  timer.async_wait([socket](const ErrorCode& ec) {
    if (!ec) {
      ResetSocket(*socket);
    }
  });
  const OutgoingRequest request = MakeTunnelRequest(target_id);
  boost::beast::flat_buffer buf;
  ResponseParser<http::empty_body> parser;
  parser.header_limit(kMaxReplyBytes);
  parser.skip(true);
  ErrorCode ec;
  co_await http::async_write(*socket, request, Into(ec));
  if (!ec) {
    co_await http::async_read_header(*socket, buf, parser, Into(ec));
  }
  timer.cancel();
  TunnelReply reply =
      ec ? TunnelReply::kNoReply : ReplyOf(parser.get().result());
  // A target sends nothing before it is asked.
  if (reply == TunnelReply::kOpened && (buf.size() > 0 || !socket->is_open())) {
    reply = TunnelReply::kNoReply;
  }
  if (reply != TunnelReply::kOpened) {
    ResetSocket(*socket);
  }
  co_return reply;
}

Awaitable<void> RunTunnel(asio::io_context& loop,
                          Tcp::socket& near,
                          Tcp::socket& far,
                          TunnelOptions options) {
  SetResetOnClose(near, true);
  const auto tunnel = std::make_shared<Tunnel>(loop, near, far, options);
  Spawn(loop, "tunnel", CopyToFar(tunnel), [tunnel] { tunnel->End(); });
  co_await CopyToNear(tunnel);
  while (!tunnel->ended) {
    ErrorCode ec;
    tunnel->near_ended.expires_at(asio::steady_timer::time_point::max());
    co_await tunnel->near_ended.async_wait(Into(ec));
  }
}

}  // namespace lynxglade::connection::event
