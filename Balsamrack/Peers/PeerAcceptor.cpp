#include "Balsamrack/Peers/PeerAcceptor.h"

#include <algorithm>
#include <map>
#include <utility>

#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/server.hpp>

#include "Balsamrack/Core/Errors.h"
#include "Balsamrack/Core/ListenSocket.h"
#include "Balsamrack/Peers/FleetKeyProof.h"
#include "Balsamrack/Peers/PeerHandshake.h"

namespace balsamrack {

namespace {

using Server = websocketpp::server<websocketpp::config::asio>;
using CurlHandle = websocketpp::connection_hdl;
using websocketpp::frame::opcode::binary;
using websocketpp::frame::opcode::text;
namespace close_code = websocketpp::close::status;
namespace http_code = websocketpp::http::status_code;
using ErrorCode = websocketpp::lib::error_code;

constexpr size_t MaxPeerConnections = 1024;
constexpr long HelloTimeoutMillis =
    2000; ///< From the end of the handshake to Hello.

/// True for the close codes of an invalid frame. websocketpp uses
/// internal_endpoint_error for some of these, such as a length that is not
/// minimally encoded.
bool isFrameError(close_code::value code) {
  return code == close_code::protocol_error ||
         code == close_code::unsupported_data ||
         code == close_code::invalid_payload ||
         code == close_code::message_too_big ||
         code == close_code::internal_endpoint_error;
}

/// A connection opened by a peer.
struct InboundConnection {
  enum class Stage { Proof, Hello, Ready };

  Stage CurrentStage = Stage::Proof;
  std::string Ip;
  std::string ExpectedProof;  ///< Proof expected from the peer.
  EntryVm Vm;                 ///< The peer; valid once Ready.
  bool AcceptsGoAway = false; ///< As in Hello; valid once Ready.
  bool Drained = false;       ///< The peer has sent its last frame.
  bool ClosedByError = false; ///< Closed by this side, and reported.
};

/// Used by the context's thread only, except create() and at().
class WebsocketAcceptor final : public PeerAcceptor {
public:
  WebsocketAcceptor(const PeerTransportSettings &settings,
                    PeerListener &listener, TransportStats &stats,
                    boost::asio::io_context &context, AddressSet allowed,
                    HelloCallback onHello)
      : Settings(settings), Listener(listener), Stats(stats), Context(context),
        Allowed(std::move(allowed)), OnHello(std::move(onHello)) {}

  absl::Status start();
  Address at() const override { return BoundAddress; }
  void beginDrain() override;
  bool isDrained() const override;
  void close() override;
  bool isClosed() const override { return Connections.empty(); }

private:
  using ConnectionMap =
      std::map<CurlHandle, InboundConnection, std::owner_less<CurlHandle>>;

  bool onValidate(const CurlHandle &h);
  void onOpen(const CurlHandle &h);
  void onMessage(const CurlHandle &h, const Server::message_ptr &m);
  void onClose(const CurlHandle &h);
  bool checkProof(InboundConnection &inbound, const Server::message_ptr &m);
  void handleHello(const CurlHandle &h, InboundConnection &inbound,
                   const PeerMessage &message);
  void closeWithError(const CurlHandle &h, const std::string &peer,
                      absl::Status why, close_code::value code);
  bool rejectHandshake(const Server::connection_ptr &c, const std::string &ip,
                       http_code::value status, const char *why);
  void report(const absl::Status &status) const {
    if (Settings.OnFault)
      Settings.OnFault(status);
  }

  const PeerTransportSettings &Settings;
  PeerListener &Listener;
  TransportStats &Stats;
  boost::asio::io_context &Context;
  const AddressSet Allowed;
  const HelloCallback OnHello;
  Server Endpoint;
  Address BoundAddress;
  bool Draining = false; ///< beginDrain() was called.
  ConnectionMap Connections;
  std::map<VmId, CurlHandle>
      NewestConnections; ///< The newest connection of each peer.
};

absl::Status WebsocketAcceptor::start() {
  // websocketpp doesn't report why it can't listen; opening a socket first
  // does.
  BoundAddress = Settings.Listen;
  auto probe = ListenSocket::open(BoundAddress);
  if (!probe.ok())
    return probe.status();
  { ListenSocket closed = *std::move(probe); }
  Endpoint.clear_access_channels(websocketpp::log::alevel::all);
  Endpoint.clear_error_channels(websocketpp::log::elevel::all);
  Endpoint.init_asio(&Context);
  Endpoint.set_reuse_addr(true);
  Endpoint.set_max_message_size(Settings.MaxFrameBytes);
  Endpoint.set_validate_handler(
      [this](const CurlHandle &h) { return onValidate(h); });
  Endpoint.set_open_handler([this](const CurlHandle &h) { onOpen(h); });
  Endpoint.set_close_handler([this](const CurlHandle &h) { onClose(h); });
  Endpoint.set_fail_handler([this](const CurlHandle &h) { onClose(h); });
  Endpoint.set_message_handler(
      [this](const CurlHandle &h, const Server::message_ptr &m) {
        onMessage(h, m);
      });
  ErrorCode ec;
  Endpoint.listen(BoundAddress.Ip, std::to_string(BoundAddress.Port), ec);
  if (!ec)
    Endpoint.start_accept(ec);
  if (ec)
    return makeError(absl::StatusCode::kUnavailable, Step::Listen,
                     BoundAddress.str(), ec.message());
  boost::system::error_code bec;
  BoundAddress.Port = Endpoint.get_local_endpoint(bec).port();
  return absl::OkStatus();
}

bool WebsocketAcceptor::rejectHandshake(const Server::connection_ptr &c,
                                        const std::string &ip,
                                        http_code::value status,
                                        const char *why) {
  ++Stats.PeersRefused;
  c->set_status(status);
  report(makeError(absl::StatusCode::kPermissionDenied, Step::DecodePeerMessage,
                   ip, why));
  return false;
}

bool WebsocketAcceptor::onValidate(const CurlHandle &h) {
  ErrorCode ec;
  auto c = Endpoint.get_con_from_hdl(h, ec);
  if (ec)
    return false;
  boost::system::error_code bec;
  std::string ip =
      c->get_raw_socket().remote_endpoint(bec).address().to_string();
  if (!Allowed.contains(ip))
    return rejectHandshake(c, ip, http_code::forbidden,
                           "peer address is not allowed");
  if (Connections.size() >= MaxPeerConnections)
    return rejectHandshake(c, ip, http_code::service_unavailable,
                           "too many peer connections");
  const std::string dialerNonce = c->get_request_header(NonceHeader);
  if (!FleetKeyProof::isNonce(dialerNonce))
    return rejectHandshake(c, ip, http_code::bad_request,
                           "nonce is missing or malformed");
  const std::string acceptorNonce = FleetKeyProof::makeNonce();
  c->append_header(NonceHeader, acceptorNonce);
  c->append_header(ProofHeader,
                   FleetKeyProof::make(Settings.FleetKey, ProofSide::Acceptor,
                                       dialerNonce, acceptorNonce));
  InboundConnection &inbound = Connections[h];
  inbound.Ip = std::move(ip);
  inbound.ExpectedProof = FleetKeyProof::make(
      Settings.FleetKey, ProofSide::Dialer, dialerNonce, acceptorNonce);
  return true;
}

void WebsocketAcceptor::onOpen(const CurlHandle &h) {
  ErrorCode ec;
  auto c = Endpoint.get_con_from_hdl(h, ec);
  if (ec)
    return;
  tunePeerSocket(c->get_raw_socket().native_handle(), Settings.StallTimeout);
  Endpoint.set_timer(HelloTimeoutMillis, [this, h](const ErrorCode &) {
    auto it = Connections.find(h);
    if (it != Connections.end() &&
        it->second.CurrentStage != InboundConnection::Stage::Ready)
      closeWithError(h, it->second.Ip,
                     absl::DeadlineExceededError("no Hello in time"),
                     close_code::policy_violation);
  });
}

void WebsocketAcceptor::closeWithError(const CurlHandle &h,
                                       const std::string &peer,
                                       absl::Status why,
                                       close_code::value code) {
  auto it = Connections.find(h);
  if (it != Connections.end())
    it->second.ClosedByError = true;
  ErrorCode ec;
  Endpoint.close(h, code, std::string(why.message()).substr(0, 100), ec);
  report(addErrorContext(std::move(why), Step::DecodePeerMessage, peer));
}

void WebsocketAcceptor::onMessage(const CurlHandle &h,
                                  const Server::message_ptr &m) {
  auto it = Connections.find(h);
  if (it == Connections.end())
    return;
  InboundConnection &inbound = it->second;
  const std::string &frame = m->get_payload();
  if (inbound.CurrentStage == InboundConnection::Stage::Proof) {
    Stats.countReceived(false, frame.size());
    if (checkProof(inbound, m))
      return;
    ++Stats.PeersRefused;
    return closeWithError(
        h, inbound.Ip,
        absl::PermissionDeniedError("wrong proof of the fleet's key"),
        close_code::policy_violation);
  }
  if (Draining && m->get_opcode() == text && frame == GoAwayFrame) {
    Stats.countReceived(false, frame.size());
    inbound.Drained = true;
    return;
  }
  auto message = decodePeerMessage(frame);
  Stats.countReceived(message.ok() && isDataMessage(*message), frame.size());
  bool ready = inbound.CurrentStage == InboundConnection::Stage::Ready;
  if (message.ok() && ready == std::holds_alternative<Hello>(*message))
    message = absl::InvalidArgumentError("Hello must come first, and once");
  if (!message.ok()) {
    ++Stats.BadFrames;
    return closeWithError(
        h, ready ? inbound.Vm.Id.str() : inbound.Ip,
        absl::Status(message.status().code(), message.status().message()),
        close_code::protocol_error);
  }
  if (ready)
    Listener.onPeerMessage(EntryVm(inbound.Vm), *std::move(message));
  else
    handleHello(h, inbound, *message);
}

bool WebsocketAcceptor::checkProof(InboundConnection &inbound,
                                   const Server::message_ptr &m) {
  if (m->get_opcode() != text ||
      !FleetKeyProof::equal(inbound.ExpectedProof, m->get_payload()))
    return false;
  inbound.CurrentStage = InboundConnection::Stage::Hello;
  return true;
}

void WebsocketAcceptor::handleHello(const CurlHandle &h,
                                    InboundConnection &inbound,
                                    const PeerMessage &message) {
  inbound.Vm = std::get<Hello>(message).Vm;
  inbound.AcceptsGoAway = std::get<Hello>(message).AcceptsGoAway;
  inbound.CurrentStage = InboundConnection::Stage::Ready;
  Settings.reportConnection(inbound.Vm.Id, "inbound-open");
  // A restarted daemon sends requests at once; its answers must not fail
  // because connects to its previous run failed.
  OnHello(inbound.Vm.Id);
  std::string hello = encodePeerMessage(Hello{Settings.Self, Settings.Run});
  ErrorCode ec;
  Endpoint.send(h, hello, binary, ec);
  Stats.countSent(false, hello.size());
  if (Draining && inbound.AcceptsGoAway)
    Endpoint.send(h, GoAwayFrame, text, ec);
  auto [it, isNew] = NewestConnections.emplace(inbound.Vm.Id, h);
  if (isNew)
    return;
  // The earlier connection is broken, even if its close event has not arrived
  // yet. Report the loss now: requests that are sent to the peer from here on
  // must not end when that event arrives.
  Endpoint.close(std::exchange(it->second, h), close_code::going_away,
                 "replaced", ec);
  Listener.onPeerLost(VmId(inbound.Vm.Id));
}

void WebsocketAcceptor::onClose(const CurlHandle &h) {
  auto it = Connections.find(h);
  if (it == Connections.end())
    return;
  InboundConnection inbound = std::move(it->second);
  Connections.erase(it);
  ErrorCode ec;
  auto c = Endpoint.get_con_from_hdl(h, ec);
  // websocketpp rejects violations of its own protocol itself and reports them
  // only by the close code.
  if (!ec && !inbound.ClosedByError &&
      isFrameError(c->get_local_close_code())) {
    ++Stats.BadFrames;
    report(makeError(absl::StatusCode::kInvalidArgument,
                     Step::DecodePeerMessage, inbound.Ip,
                     c->get_local_close_reason()));
  }
  if (inbound.CurrentStage != InboundConnection::Stage::Ready)
    return;
  ++Stats.ConnectionsLost;
  auto current = NewestConnections.find(inbound.Vm.Id);
  std::owner_less<CurlHandle> less;
  Settings.reportConnection(inbound.Vm.Id, "inbound-closed");
  bool isNewest = current != NewestConnections.end() &&
                  !less(current->second, h) && !less(h, current->second);
  if (!isNewest)
    return;
  NewestConnections.erase(current);
  Listener.onPeerLost(inbound.Vm.Id);
}

void WebsocketAcceptor::beginDrain() {
  if (std::exchange(Draining, true))
    return;
  ErrorCode ec;
  if (Endpoint.is_listening())
    Endpoint.stop_listening(ec);
  for (const auto &[h, inbound] : Connections)
    if (inbound.CurrentStage != InboundConnection::Stage::Ready)
      // Its dialer has sent no message yet and returns them as unsent.
      Endpoint.close(h, close_code::going_away, "stopping", ec);
    else if (inbound.AcceptsGoAway)
      Endpoint.send(h, GoAwayFrame, text, ec);
}

bool WebsocketAcceptor::isDrained() const {
  return std::none_of(
      Connections.begin(), Connections.end(), [](const auto &it) {
        return it.second.CurrentStage == InboundConnection::Stage::Ready &&
               it.second.AcceptsGoAway && !it.second.Drained;
      });
}

void WebsocketAcceptor::close() {
  ErrorCode ec;
  if (Endpoint.is_listening())
    Endpoint.stop_listening(ec);
  for (const auto &[h, inbound] : Connections)
    Endpoint.close(h, close_code::going_away, "stopping", ec);
}

} // namespace

absl::StatusOr<std::unique_ptr<PeerAcceptor>>
PeerAcceptor::create(const PeerTransportSettings &settings,
                     PeerListener &listener, TransportStats &stats,
                     boost::asio::io_context &context, HelloCallback onHello) {
  auto allowed = AddressSet::parse(settings.Allowed);
  if (!allowed.ok())
    return addErrorContext(allowed.status(), Step::Listen,
                           settings.Listen.str());
  auto acceptor = std::make_unique<WebsocketAcceptor>(
      settings, listener, stats, context, *std::move(allowed),
      std::move(onHello));
  absl::Status status = acceptor->start();
  if (!status.ok())
    return status;
  return acceptor;
}

} // namespace balsamrack
