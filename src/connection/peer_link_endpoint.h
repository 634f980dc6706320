// Transport of peer links over websocketpp, for plain TCP and TLS. Included by
// peer_link_plain.cc and peer_link_tls.cc only.
#ifndef LYNXGLADE_CONNECTION_PEER_LINK_ENDPOINT_H_
#define LYNXGLADE_CONNECTION_PEER_LINK_ENDPOINT_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>
#include <websocketpp/transport/asio/endpoint.hpp>

#include "connection/http_limits.h"
#include "connection/peer_link.h"
#include "connection/peer_link_queue.h"
#include "connection/peer_link_transport.h"

namespace lynxglade::connection {

// websocketpp configuration for server and client. `Socket` is websocketpp's
// plain or TLS socket policy. Lower-case names are required by websocketpp.
// NOLINTBEGIN(readability-identifier-naming)
template <typename Socket>
struct PeerWebSocketConfig : public websocketpp::config::core_client {
  using type = PeerWebSocketConfig;
  using base = websocketpp::config::core_client;

  struct transport_config : public base::transport_config {
    using concurrency_type = base::concurrency_type;
    using alog_type = base::alog_type;
    using elog_type = base::elog_type;
    using request_type = base::request_type;
    using response_type = base::response_type;
    using socket_type = Socket;
  };
  using transport_type =
      websocketpp::transport::asio::endpoint<transport_config>;

  static const size_t max_message_size = kMaxPeerMessageBytes;
  static const size_t max_http_body_size = 1024;
  static const long timeout_open_handshake = 3000;
  static const long timeout_close_handshake = 1000;
};
// NOLINTEND(readability-identifier-naming)

// The parts that differ between plain TCP and TLS.
template <typename Config>
struct PeerSocketPolicy {
  using Server = websocketpp::server<Config>;
  using Client = websocketpp::client<Config>;
  using ConnectionPtr = typename Server::connection_ptr;

  std::string scheme;
  // Loads the TLS files; returns false if they are unusable.
  std::function<bool()> reload;
  std::function<void(Server&, Client&)> install;
  // Sets the identity from the peer's certificate. Returns false to reject the
  // link.
  std::function<bool(ConnectionPtr, std::optional<PeerIdentity>*)> identify;
};

template <typename Config>
class PeerEndpoint final : public PeerLinks::Transport {
 public:
  using Policy = PeerSocketPolicy<Config>;

  PeerEndpoint(PeerLinkOptions options, PeerLinkHooks hooks, Policy policy)
      : options_(std::move(options)),
        hooks_(std::move(hooks)),
        policy_(std::move(policy)),
        sweep_timer_(io_) {}

  ~PeerEndpoint() override { Stop(); }

  bool Start(PeerLinkError* last_error) override {
    *last_error = PeerLinkError::kNone;
    if (!policy_.reload()) {
      *last_error = PeerLinkError::kCertificate;
      return false;
    }
    if (!Listen()) {
      *last_error = PeerLinkError::kListen;
      return false;
    }
    hello_ = hooks_.make_hello(port_);
    ArmSweep();
    thread_ = std::thread([this] { Run(); });
    return true;
  }

  void Stop() override {
    if (!thread_.joinable()) {
      return;
    }
    boost::asio::post(io_, [this] { Shutdown(); });
    thread_.join();
  }

  PeerLinkId Dial(const std::string& address, int port) override {
    const PeerLinkId id = next_link_.fetch_add(1);
    boost::asio::post(
        io_, [this, id, address, port] { DialOnThread(id, address, port); });
    return id;
  }

  void Send(PeerLinkId link,
            std::string message,
            PeerMessageClass cls) override {
    boost::asio::post(
        io_, [this, link, cls, message = std::move(message)]() mutable {
          SendOnThread(link, std::move(message), cls);
        });
  }

  void Close(PeerLinkId link, const std::string& reason) override {
    boost::asio::post(io_,
                      [this, link, reason] { Drop(link, reason, reason); });
  }

  bool ReloadTls() override { return policy_.reload(); }

  int port() const noexcept override { return port_; }

  PeerLinkCounters counters() const override {
    PeerLinkCounters out;
    out.messages_sent = messages_sent_;
    out.bytes_sent = bytes_sent_;
    out.messages_received = messages_received_;
    out.bytes_received = bytes_received_;
    out.messages_dropped = messages_dropped_;
    out.links_refused = links_refused_;
    return out;
  }

 private:
  using Server = typename Policy::Server;
  using Client = typename Policy::Client;
  using ConnectionPtr = typename Policy::ConnectionPtr;
  using MessagePtr = typename Server::message_ptr;
  using SteadyClock = std::chrono::steady_clock;

  struct Link {
    Link(ConnectionPtr c, bool dialled_here, std::size_t max_queue_bytes)
        : connection(std::move(c)),
          dialled(dialled_here),
          queue(max_queue_bytes) {}

    ConnectionPtr connection;
    bool dialled;
    bool up = false;
    SteadyClock::time_point hello_deadline{};
    std::optional<PeerIdentity> identity;
    PeerLinkQueue queue;
  };

  // Once websocketpp buffers this much for a connection, messages go to the
  // bounded queue of the link.
  static constexpr std::size_t kLibraryBufferBytes = 64u << 10;
  static constexpr std::chrono::milliseconds kSweepInterval{50};
  static constexpr const char* kResource = "/lynxglade/peer";
  // A WebSocket close frame carries at most 123 bytes of reason.
  static constexpr std::size_t kMaxReasonBytes = 120;

  bool Listen() {
    websocketpp::lib::error_code ec;
    DisableLogging(server_);
    DisableLogging(client_);
    server_.init_asio(&io_, ec);
    if (ec) {
      return false;
    }
    client_.init_asio(&io_, ec);
    if (ec) {
      return false;
    }
    server_.set_reuse_addr(true);
    server_.set_listen_backlog(kListenBacklog);
    policy_.install(server_, client_);
    InstallServerHandlers();
    boost::system::error_code bec;
    const auto ip = boost::asio::ip::make_address(options_.address, bec);
    if (bec) {
      return false;
    }
    server_.listen(boost::asio::ip::tcp::endpoint(
                       ip, static_cast<std::uint16_t>(options_.port)),
                   ec);
    if (ec) {
      return false;
    }
    port_ = server_.get_local_endpoint(bec).port();
    server_.start_accept(ec);
    return !ec;
  }

  template <typename Endpoint>
  static void DisableLogging(Endpoint& endpoint) {
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
  }

  void InstallServerHandlers() {
    // Counts pending handshakes: a client that never starts one occupies a
    // socket until the handshake timeout.
    server_.set_tcp_pre_init_handler([this](websocketpp::connection_hdl hdl) {
      if (++handshakes_ > options_.max_handshakes) {
        ++links_refused_;
        boost::system::error_code ec;
        server_.get_con_from_hdl(hdl)->get_raw_socket().close(ec);
      }
    });
    server_.set_fail_handler(
        [this](websocketpp::connection_hdl) { EndHandshake(); });
    server_.set_tcp_post_init_handler([this](websocketpp::connection_hdl hdl) {
      SetNoDelay(server_.get_con_from_hdl(hdl));
    });
    server_.set_validate_handler([this](websocketpp::connection_hdl hdl) {
      return Validate(server_.get_con_from_hdl(hdl));
    });
    server_.set_open_handler([this](websocketpp::connection_hdl hdl) {
      ConnectionPtr con = server_.get_con_from_hdl(hdl);
      const PeerLinkId id = next_link_.fetch_add(1);
      EndHandshake();
      InstallLinkHandlers(id, con);
      links_.emplace(id, Link(con, false, options_.max_queue_bytes));
      SendHello(id);
    });
  }

  void EndHandshake() {
    if (handshakes_ > 0) {
      --handshakes_;
    }
  }

  static void SetNoDelay(const ConnectionPtr& con) {
    boost::system::error_code ec;
    con->get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true), ec);
  }

  bool Validate(const ConnectionPtr& con) {
    const bool room = links_.size() < options_.max_links;
    if (room && con->get_resource() == kResource) {
      return true;
    }
    con->set_status(room ? websocketpp::http::status_code::not_found
                         : websocketpp::http::status_code::service_unavailable);
    ++links_refused_;
    return false;
  }

  // Installs the handlers that map a connection's events to its link id.
  void InstallLinkHandlers(PeerLinkId id, const ConnectionPtr& con) {
    con->set_message_handler(
        [this, id](websocketpp::connection_hdl, MessagePtr message) {
          Receive(id, message);
        });
    con->set_close_handler(
        [this, id, raw = con.get()](websocketpp::connection_hdl) {
          Drop(id, {}, "closed by peer: " + raw->get_remote_close_reason());
        });
    con->set_fail_handler(
        [this, id, raw = con.get()](websocketpp::connection_hdl) {
          Drop(id, {}, "failed: " + raw->get_ec().message());
        });
  }

  void DialOnThread(PeerLinkId id, const std::string& address, int port) {
    websocketpp::lib::error_code ec;
    ConnectionPtr con;
    if (links_.size() < options_.max_links) {
      con = client_.get_connection(policy_.scheme + "://" + address + ":" +
                                       std::to_string(port) + kResource,
                                   ec);
    }
    if (!con || ec) {
      hooks_.on_down(id, con ? ec.message()
                             : "too many links (limit " +
                                   std::to_string(options_.max_links) + ")");
      return;
    }
    InstallLinkHandlers(id, con);
    con->set_tcp_post_init_handler(
        [this, con_weak = std::weak_ptr(con)](websocketpp::connection_hdl) {
          if (const ConnectionPtr c = con_weak.lock()) {
            SetNoDelay(c);
          }
        });
    con->set_open_handler(
        [this, id](websocketpp::connection_hdl) { SendHello(id); });
    links_.emplace(id, Link(con, true, options_.max_queue_bytes));
    client_.connect(con);
  }

  // Called when the connection is open: checks the peer's identity and sends
  // the hello message.
  void SendHello(PeerLinkId id) {
    const auto it = links_.find(id);
    if (it == links_.end()) {
      return;
    }
    Link& link = it->second;
    if (!policy_.identify(link.connection, &link.identity)) {
      ++links_refused_;
      Drop(id, "certificate names no zone and role",
           "peer certificate names no zone and role");
      return;
    }
    link.hello_deadline = SteadyClock::now() + options_.hello_timeout;
    Write(id, &link, hello_);
  }

  void Receive(PeerLinkId id, const MessagePtr& message) {
    const auto it = links_.find(id);
    if (it == links_.end()) {
      return;
    }
    const std::string& payload = message->get_payload();
    ++messages_received_;
    bytes_received_ += payload.size();
    if (message->get_opcode() != websocketpp::frame::opcode::binary) {
      ++links_refused_;
      Drop(id, "binary messages only",
           "peer sent a message that is not binary");
      return;
    }
    if (it->second.up) {
      hooks_.on_message(id, payload);
      return;
    }
    CheckHello(id, &it->second, payload);
  }

  void CheckHello(PeerLinkId id, Link* link, const std::string& hello) {
    const PeerIdentity* identity =
        link->identity.has_value() ? &*link->identity : nullptr;
    const std::string refusal = hooks_.check_hello(hello, identity);
    if (!refusal.empty()) {
      ++links_refused_;
      Drop(id, refusal, "refused: " + refusal);
      return;
    }
    link->up = true;
    hooks_.on_up(id, link->dialled, hello);
  }

  void SendOnThread(PeerLinkId id, std::string message, PeerMessageClass cls) {
    const auto it = links_.find(id);
    if (it == links_.end() || !it->second.up) {
      return;
    }
    Link& link = it->second;
    if (link.queue.empty() && HasRoom(link)) {
      Write(id, &link, message);
      return;
    }
    bool fits = true;
    messages_dropped_ += link.queue.Push(std::move(message), cls, &fits);
    if (!fits) {
      Drop(id, "send queue full", "send queue full, peer too slow");
    }
  }

  static bool HasRoom(const Link& link) {
    return link.connection->get_buffered_amount() < kLibraryBufferBytes;
  }

  void Write(PeerLinkId id, Link* link, const std::string& message) {
    const auto ec =
        link->connection->send(message, websocketpp::frame::opcode::binary);
    if (ec) {
      Drop(id, {}, "write failed: " + ec.message());
      return;
    }
    ++messages_sent_;
    bytes_sent_ += message.size();
  }

  // Removes the link and closes its connection. Calls on_down if the link was
  // up or dialled, so that the owner has its id.
  void Drop(PeerLinkId id,
            const std::string& close_reason,
            const std::string& reason) {
    const auto it = links_.find(id);
    if (it == links_.end()) {
      return;
    }
    const ConnectionPtr con = it->second.connection;
    const bool known = it->second.up || it->second.dialled;
    links_.erase(it);
    websocketpp::lib::error_code ec;
    con->close(websocketpp::close::status::policy_violation,
               close_reason.substr(0, kMaxReasonBytes), ec);
    if (known) {
      hooks_.on_down(id, reason);
    }
  }

  void ArmSweep() {
    sweep_timer_.expires_after(kSweepInterval);
    sweep_timer_.async_wait([this](const boost::system::error_code& ec) {
      if (!ec) {
        Sweep();
        ArmSweep();
      }
    });
  }

  // Sends queued messages and closes links whose hello is overdue.
  void Sweep() {
    const auto now = SteadyClock::now();
    std::vector<PeerLinkId> overdue;
    std::vector<PeerLinkId> waiting;
    for (const auto& [id, link] : links_) {
      const bool hello_sent = link.hello_deadline != SteadyClock::time_point{};
      if (!link.up && hello_sent && link.hello_deadline < now) {
        overdue.push_back(id);
      }
      if (!link.queue.empty()) {
        waiting.push_back(id);
      }
    }
    for (const PeerLinkId id : overdue) {
      ++links_refused_;
      Drop(id, "hello timed out", "peer sent no hello in time");
    }
    for (const PeerLinkId id : waiting) {
      SendQueued(id);
    }
  }

  void SendQueued(PeerLinkId id) {
    auto it = links_.find(id);
    while (it != links_.end() && !it->second.queue.empty() &&
           HasRoom(it->second)) {
      Write(id, &it->second, it->second.queue.Pop());
      it = links_.find(id);
    }
  }

  void Run() {
    while (!stopping_) {
      try {
        io_.run();
        return;
      } catch (const std::exception&) {
        // websocketpp throws from handlers of a connection that broke
        // meanwhile. Its close or fail handler still runs; other links are not
        // affected.
        continue;
      }
    }
  }

  void Shutdown() {
    stopping_ = true;
    sweep_timer_.cancel();
    websocketpp::lib::error_code ec;
    server_.stop_listening(ec);
    // The event loop stops before a closing handshake could finish, so the
    // sockets are closed directly to notify the peers.
    for (const auto& [id, link] : links_) {
      boost::system::error_code bec;
      link.connection->get_raw_socket().close(bec);
    }
    links_.clear();
    io_.stop();
  }

  const PeerLinkOptions options_;
  const PeerLinkHooks hooks_;
  const Policy policy_;
  boost::asio::io_service io_;
  boost::asio::steady_timer sweep_timer_;
  Server server_;
  Client client_;
  std::string hello_;
  std::atomic<int> port_{0};
  std::atomic<PeerLinkId> next_link_{1};
  std::atomic<std::uint64_t> messages_sent_{0};
  std::atomic<std::uint64_t> bytes_sent_{0};
  std::atomic<std::uint64_t> messages_received_{0};
  std::atomic<std::uint64_t> bytes_received_{0};
  std::atomic<std::uint64_t> messages_dropped_{0};
  std::atomic<std::uint64_t> links_refused_{0};
  // The members below are used only on the I/O thread once it runs.
  bool stopping_ = false;
  // Accepted connections with an incomplete handshake.
  std::size_t handshakes_ = 0;
  std::map<PeerLinkId, Link> links_;
  std::thread thread_;
};

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_PEER_LINK_ENDPOINT_H_
