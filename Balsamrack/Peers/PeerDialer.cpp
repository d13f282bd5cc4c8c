#include "Balsamrack/Peers/PeerDialer.h"

#include <map>
#include <utility>
#include <vector>

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>

#include "Balsamrack/Core/Errors.h"
#include "Balsamrack/Peers/FleetKeyProof.h"
#include "Balsamrack/Peers/PeerHandshake.h"

namespace balsamrack {

namespace {

using Client = websocketpp::client<websocketpp::config::asio_client>;
using Handle = websocketpp::connection_hdl;
using websocketpp::frame::opcode::binary;
using websocketpp::frame::opcode::text;
namespace close_code = websocketpp::close::status;
using ErrorCode = websocketpp::lib::error_code;
using std::chrono::steady_clock;

/// More is not handed to a connection that has not yet written as much; it
/// waits in the link, from where it can still be tried elsewhere.
constexpr size_t MaxBufferedBytes = size_t(1) << 20;
constexpr long FullBufferRetryMillis = 5;

/// A link and its connection. All but the link itself is touched by the
/// context's thread only.
struct Route {
  Route(const PeerTransportSettings &settings, const VmId &peer)
      : Link(settings, peer) {}

  enum class State { Idle, Connecting, Open };

  PeerLink Link;
  State Is = State::Idle;
  Client::connection_ptr Connection; ///< Null while idle.
  Address To;                        ///< Where Connection leads to.
  std::string Nonce;                 ///< Of this connection.
};

using RoutePtr = std::shared_ptr<Route>;

class WebsocketDialer final : public PeerDialer {
public:
  WebsocketDialer(const PeerTransportSettings &settings, PeerListener &listener,
                  TransportStats &stats, boost::asio::io_context &context)
      : Settings(settings), Listener(listener), Stats(stats), Context(context),
        Random(combineHash(settings.Self.Id.hash(), settings.Run.Value)) {
    Endpoint.clear_access_channels(websocketpp::log::alevel::all);
    Endpoint.clear_error_channels(websocketpp::log::elevel::all);
    Endpoint.init_asio(&Context);
    Endpoint.set_max_message_size(Settings.MaxFrameBytes);
  }

  /// A connection's handlers hold its route, and the route the connection.
  ~WebsocketDialer() override {
    for (const RoutePtr &route : allRoutes())
      route->Connection.reset();
  }

  absl::Status send(const EntryVm &to, QueuedFrame frame) override;
  void peerLives(const VmId &peer) override { routeTo(peer)->Link.succeed(); }
  void refuseMore() override;
  bool drained() const override;
  void close() override;
  bool closed() const override;

private:
  RoutePtr routeTo(const VmId &peer);
  std::vector<RoutePtr> allRoutes() const;
  void serve(const RoutePtr &route);
  void connect(const RoutePtr &route);
  void watchConnect(const RoutePtr &route);
  void setHandlers(const RoutePtr &route, const Client::connection_ptr &c);
  void onOpen(const RoutePtr &route);
  void onMessage(const RoutePtr &route, const std::string &frame);
  void onEnd(const RoutePtr &route);
  void failConnect(const RoutePtr &route, const std::string &why);
  void giveBack(const RoutePtr &route, const QueuedFrame &frame);
  void flush(const RoutePtr &route);
  void drop(const RoutePtr &route, close_code::value code, const char *why);
  void report(const RoutePtr &route, absl::StatusCode code,
              const std::string &why);

  const PeerTransportSettings &Settings;
  PeerListener &Listener;
  TransportStats &Stats;
  boost::asio::io_context &Context;
  Client Endpoint;
  SeededRandom Random;     ///< Context's thread only.
  mutable std::mutex Lock; ///< Guards what follows.
  std::map<VmId, RoutePtr> Routes;
  bool Refusing = false;
};

RoutePtr WebsocketDialer::routeTo(const VmId &peer) {
  std::lock_guard<std::mutex> hold(Lock);
  RoutePtr &route = Routes[peer];
  if (!route) {
    route = std::make_shared<Route>(Settings, peer);
    if (Refusing)
      route->Link.close();
  }
  return route;
}

std::vector<RoutePtr> WebsocketDialer::allRoutes() const {
  std::lock_guard<std::mutex> hold(Lock);
  std::vector<RoutePtr> all;
  for (const auto &[id, route] : Routes)
    all.push_back(route);
  return all;
}

absl::Status WebsocketDialer::send(const EntryVm &to, QueuedFrame frame) {
  RoutePtr route = routeTo(to.Id);
  bool wake = false;
  absl::Status status =
      route->Link.push(to, std::move(frame), steady_clock::now(), wake);
  if (wake)
    boost::asio::post(Context, [this, route] { serve(route); });
  return status;
}

void WebsocketDialer::serve(const RoutePtr &route) {
  route->Link.serving();
  if (route->Is == Route::State::Open && route->To != route->Link.address()) {
    drop(route, close_code::going_away, "moved");
    Listener.onPeerLost(route->Link.peer());
  }
  if (route->Link.empty())
    return;
  if (route->Is == Route::State::Idle)
    connect(route);
  else if (route->Is == Route::State::Open)
    flush(route);
}

void WebsocketDialer::connect(const RoutePtr &route) {
  ErrorCode ec;
  route->To = route->Link.address();
  auto c = Endpoint.get_connection("ws://" + route->To.str() + PeerPath, ec);
  if (ec)
    return failConnect(route, ec.message());
  route->Nonce = FleetKeyProof::makeNonce();
  c->append_header(NonceHeader, route->Nonce);
  setHandlers(route, c);
  route->Is = Route::State::Connecting;
  route->Connection = c;
  Endpoint.connect(c);
  watchConnect(route);
}

void WebsocketDialer::setHandlers(const RoutePtr &route,
                                  const Client::connection_ptr &c) {
  // A route may have gone on to another connection when an event of an earlier
  // one arrives; that one must not be taken for an update of the later.
  auto current = [this, route,
                  id = std::weak_ptr<Client::connection_type>(c)](auto then) {
    return [this, route, id, then](const Handle &) {
      auto c = id.lock();
      if (c && c == route->Connection)
        (this->*then)(route);
    };
  };
  c->set_open_handler(current(&WebsocketDialer::onOpen));
  c->set_fail_handler(current(&WebsocketDialer::onEnd));
  c->set_close_handler(current(&WebsocketDialer::onEnd));
  c->set_message_handler(
      [this, route, id = std::weak_ptr<Client::connection_type>(c)](
          const Handle &, const Client::message_ptr &m) {
        auto c = id.lock();
        if (c && c == route->Connection)
          onMessage(route, m->get_payload());
      });
}

void WebsocketDialer::watchConnect(const RoutePtr &route) {
  auto timer = std::make_shared<boost::asio::steady_timer>(
      Context, std::chrono::microseconds(Settings.ConnectTimeout));
  timer->async_wait([this, route, timer,
                     c = route->Connection](const boost::system::error_code &) {
    if (route->Connection != c || route->Is != Route::State::Connecting)
      return;
    ErrorCode ec;
    c->terminate(ec);
    if (route->Connection == c)
      failConnect(route, "connect timeout");
  });
}

void WebsocketDialer::onOpen(const RoutePtr &route) {
  const auto &c = route->Connection;
  tunePeerSocket(c->get_raw_socket().native_handle(), Settings.StallTimeout);
  const std::string theirs = c->get_response_header(NonceHeader);
  const std::string want = FleetKeyProof::make(
      Settings.FleetKey, ProofSide::Acceptor, route->Nonce, theirs);
  if (!FleetKeyProof::equal(want, c->get_response_header(ProofHeader))) {
    ++Stats.PeersRefused;
    return failConnect(route, "peer does not know the fleet's key");
  }
  std::string proof = FleetKeyProof::make(Settings.FleetKey, ProofSide::Dialer,
                                          route->Nonce, theirs);
  std::string hello = encodePeerMessage(Hello{Settings.Self, Settings.Run});
  c->send(proof, text);
  c->send(hello, binary);
  Stats.sent(false, proof.size());
  Stats.sent(false, hello.size());
}

void WebsocketDialer::onMessage(const RoutePtr &route,
                                const std::string &frame) {
  Stats.received(false, frame.size());
  auto message = decodePeerMessage(frame);
  const auto *hello = message.ok() ? std::get_if<Hello>(&*message) : nullptr;
  if (!hello || route->Is != Route::State::Connecting) {
    ++Stats.BadFrames;
    report(route, absl::StatusCode::kInvalidArgument, "Hello expected");
    ErrorCode ec;
    return route->Connection->close(close_code::protocol_error,
                                    "Hello expected", ec);
  }
  // The VM list lags: another VM may have the address by now, and would take
  // what is meant for the old one.
  if (hello->Vm.Id != route->Link.peer())
    return failConnect(route, "address belongs to " + hello->Vm.Id.str());
  route->Is = Route::State::Open;
  route->Link.succeed();
  flush(route);
}

void WebsocketDialer::flush(const RoutePtr &route) {
  QueuedFrame frame;
  auto c = route->Connection;
  while (!route->Link.empty()) {
    if (c->get_buffered_amount() > MaxBufferedBytes) {
      Endpoint.set_timer(FullBufferRetryMillis,
                         [this, route](const ErrorCode &) { serve(route); });
      return;
    }
    if (!route->Link.pop(frame))
      return;
    // The connection is closing and took nothing; what waits goes out on the
    // next one.
    if (c->send(frame.Bytes, binary))
      return route->Link.putBack(std::move(frame));
    Stats.sent(frame.Data, frame.Bytes.size());
  }
}

void WebsocketDialer::onEnd(const RoutePtr &route) {
  if (route->Is == Route::State::Connecting) {
    ErrorCode why = route->Connection->get_ec();
    return failConnect(route, why.message());
  }
  route->Is = Route::State::Idle;
  route->Connection.reset();
  ++Stats.ConnectionsLost;
  Listener.onPeerLost(route->Link.peer());
  serve(route); // What still waits did not leave.
}

void WebsocketDialer::failConnect(const RoutePtr &route,
                                  const std::string &why) {
  drop(route, close_code::policy_violation, "connect failed");
  ++Stats.ConnectsFailed;
  report(route, absl::StatusCode::kUnavailable, why);
  for (const QueuedFrame &frame : route->Link.fail(steady_clock::now(), Random))
    giveBack(route, frame);
  Listener.onPeerLost(route->Link.peer());
}

void WebsocketDialer::giveBack(const RoutePtr &route,
                               const QueuedFrame &frame) {
  auto message = decodePeerMessage(frame.Bytes);
  if (message.ok())
    Listener.onSendFailed(route->Link.peer(), *std::move(message));
}

void WebsocketDialer::drop(const RoutePtr &route, close_code::value code,
                           const char *why) {
  auto c = std::exchange(route->Connection, nullptr);
  route->Is = Route::State::Idle;
  ErrorCode ec;
  if (c)
    c->close(code, why, ec);
}

void WebsocketDialer::report(const RoutePtr &route, absl::StatusCode code,
                             const std::string &why) {
  if (Settings.OnFault)
    Settings.OnFault(
        makeError(code, Step::SendToPeer, route->Link.peer().str(), why));
}

void WebsocketDialer::refuseMore() {
  std::lock_guard<std::mutex> hold(Lock);
  Refusing = true;
  for (const auto &[id, route] : Routes)
    route->Link.close();
}

bool WebsocketDialer::drained() const {
  for (const RoutePtr &route : allRoutes())
    if (!route->Link.empty() || route->Is == Route::State::Connecting)
      return false;
  return true;
}

void WebsocketDialer::close() {
  ErrorCode ec;
  for (const RoutePtr &route : allRoutes())
    if (route->Connection)
      route->Connection->close(close_code::going_away, "stopping", ec);
}

bool WebsocketDialer::closed() const {
  for (const RoutePtr &route : allRoutes())
    if (route->Connection)
      return false;
  return true;
}

} // namespace

std::unique_ptr<PeerDialer>
PeerDialer::create(const PeerTransportSettings &settings,
                   PeerListener &listener, TransportStats &stats,
                   boost::asio::io_context &context) {
  // Guards against a race inside websocketpp: its byte order test fills a
  // static on first use, from whichever threads send first. One thread does it
  // here, before any other one sends.
  static const uint64_t prepared = websocketpp::lib::net::_htonll(1);
  (void)prepared;
  return std::make_unique<WebsocketDialer>(settings, listener, stats, context);
}

} // namespace balsamrack
