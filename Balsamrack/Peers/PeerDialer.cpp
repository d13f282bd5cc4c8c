#include "Balsamrack/Peers/PeerDialer.h"

#include <cstring>
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
using CurlHandle = websocketpp::connection_hdl;
using websocketpp::frame::opcode::binary;
using websocketpp::frame::opcode::text;
namespace close_code = websocketpp::close::status;
using ErrorCode = websocketpp::lib::error_code;
using std::chrono::steady_clock;

/// Limit of unwritten bytes per connection. Further frames wait in the link,
/// from which they can still be returned as unsent.
constexpr size_t MaxBufferedBytes = size_t(1) << 20;
constexpr long FullBufferRetryMillis = 5;
/// A link and its connection. Everything but the link itself is used by the
/// context's thread only.
struct OutboundChannel {
  OutboundChannel(const PeerTransportSettings &settings, const VmId &peer)
      : Link(settings, peer) {}

  enum class State { Idle, Connecting, Open, PeerStopping };
  enum class FlushState { Done, Pending, PingSent };

  PeerLink Link;
  State CurrentState = State::Idle;
  Client::connection_ptr Connection; ///< Null while idle.
  Address RemoteAddress;             ///< Address of Connection.
  std::string Nonce;                 ///< Nonce of this connection.
  FlushState Flush = FlushState::Done;
};

using ChannelPtr = std::shared_ptr<OutboundChannel>;

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

  /// Releases the connections, whose handlers refer to the channel and form a
  /// reference cycle with it.
  ~WebsocketDialer() override {
    for (const ChannelPtr &channel : allChannels())
      channel->Connection.reset();
  }

  absl::Status send(const EntryVm &to, QueuedFrame frame) override;
  void resetBackoff(const VmId &peer) override {
    findOrCreateChannel(peer)->Link.recordConnectSuccess();
  }
  void beginFlush() override;
  bool isFlushed() override;
  void rejectNewFrames() override;
  bool isDrained() const override;
  void close() override;
  bool isClosed() const override;

private:
  ChannelPtr findOrCreateChannel(const VmId &peer);
  std::vector<ChannelPtr> allChannels() const;
  void processQueue(const ChannelPtr &channel);
  void connect(const ChannelPtr &channel);
  void startConnectTimer(const ChannelPtr &channel);
  void setHandlers(const ChannelPtr &channel, const Client::connection_ptr &c);
  void onOpen(const ChannelPtr &channel);
  void onMessage(const ChannelPtr &channel, const Client::message_ptr &m);
  void onPong(const ChannelPtr &channel);
  void handleGoAway(const ChannelPtr &channel);
  void returnQueuedFrames(const ChannelPtr &channel);
  void reportLoss(const ChannelPtr &channel);
  void onClosed(const ChannelPtr &channel);
  void handleConnectFailure(const ChannelPtr &channel, const std::string &why);
  void reportUnsent(const ChannelPtr &channel, const QueuedFrame &frame);
  void flush(const ChannelPtr &channel);
  void dropConnection(const ChannelPtr &channel, close_code::value code,
                      const char *why);
  void report(const ChannelPtr &channel, absl::StatusCode code,
              const std::string &why);

  const PeerTransportSettings &Settings;
  PeerListener &Listener;
  TransportStats &Stats;
  boost::asio::io_context &Context;
  Client Endpoint;
  SeededRandom Random;     ///< Used by the context's thread only.
  mutable std::mutex Lock; ///< Guards the following members.
  std::map<VmId, ChannelPtr> Channels;
  bool RejectsNewFrames = false;
};

ChannelPtr WebsocketDialer::findOrCreateChannel(const VmId &peer) {
  std::lock_guard<std::mutex> hold(Lock);
  ChannelPtr &channel = Channels[peer];
  if (!channel) {
    channel = std::make_shared<OutboundChannel>(Settings, peer);
    if (RejectsNewFrames)
      channel->Link.close();
  }
  return channel;
}

std::vector<ChannelPtr> WebsocketDialer::allChannels() const {
  std::lock_guard<std::mutex> hold(Lock);
  std::vector<ChannelPtr> all;
  for (const auto &[id, channel] : Channels)
    all.push_back(channel);
  return all;
}

absl::Status WebsocketDialer::send(const EntryVm &to, QueuedFrame frame) {
  ChannelPtr channel = findOrCreateChannel(to.Id);
  bool wake = false;
  absl::Status status =
      channel->Link.push(to, std::move(frame), steady_clock::now(), wake);
  if (wake)
    boost::asio::post(Context, [this, channel] { processQueue(channel); });
  return status;
}

void WebsocketDialer::processQueue(const ChannelPtr &channel) {
  channel->Link.clearWakePending();
  if ((channel->CurrentState == OutboundChannel::State::Open ||
       channel->CurrentState == OutboundChannel::State::PeerStopping) &&
      channel->RemoteAddress != channel->Link.address()) {
    dropConnection(channel, close_code::going_away, "moved");
    Settings.reportConnection(channel->Link.peer(), "outbound-moved");
    channel->Link.setStopping(false);
    reportLoss(channel);
  }
  if (channel->Link.empty())
    return;
  if (channel->CurrentState == OutboundChannel::State::Idle)
    connect(channel);
  else if (channel->CurrentState == OutboundChannel::State::Open)
    flush(channel);
  else if (channel->CurrentState == OutboundChannel::State::PeerStopping)
    returnQueuedFrames(channel);
}

void WebsocketDialer::connect(const ChannelPtr &channel) {
  ErrorCode ec;
  channel->RemoteAddress = channel->Link.address();
  auto c = Endpoint.get_connection(
      "ws://" + channel->RemoteAddress.str() + PeerPath, ec);
  if (ec)
    return handleConnectFailure(channel, ec.message());
  channel->Nonce = FleetKeyProof::makeNonce();
  c->append_header(NonceHeader, channel->Nonce);
  setHandlers(channel, c);
  channel->CurrentState = OutboundChannel::State::Connecting;
  channel->Connection = c;
  Endpoint.connect(c);
  startConnectTimer(channel);
}

void WebsocketDialer::setHandlers(const ChannelPtr &channel,
                                  const Client::connection_ptr &c) {
  // An event of an earlier connection may arrive when the channel already has
  // another one; it must not be attributed to the new connection.
  auto ifCurrent = [this, channel,
                    id = std::weak_ptr<Client::connection_type>(c)](auto then) {
    return [this, channel, id, then](const CurlHandle &) {
      auto c = id.lock();
      if (c && c == channel->Connection)
        (this->*then)(channel);
    };
  };
  c->set_open_handler(ifCurrent(&WebsocketDialer::onOpen));
  c->set_fail_handler(ifCurrent(&WebsocketDialer::onClosed));
  c->set_close_handler(ifCurrent(&WebsocketDialer::onClosed));
  c->set_message_handler(
      [this, channel, id = std::weak_ptr<Client::connection_type>(c)](
          const CurlHandle &, const Client::message_ptr &m) {
        auto c = id.lock();
        if (c && c == channel->Connection)
          onMessage(channel, m);
      });
  c->set_pong_handler(
      [this, channel, id = std::weak_ptr<Client::connection_type>(c)](
          const CurlHandle &, const std::string &) {
        auto c = id.lock();
        if (c && c == channel->Connection)
          onPong(channel);
      });
}

void WebsocketDialer::startConnectTimer(const ChannelPtr &channel) {
  auto timer = std::make_shared<boost::asio::steady_timer>(
      Context, std::chrono::microseconds(Settings.ConnectTimeout));
  timer->async_wait([this, channel, timer, c = channel->Connection](
                        const boost::system::error_code &) {
    if (channel->Connection != c ||
        channel->CurrentState != OutboundChannel::State::Connecting)
      return;
    ErrorCode ec;
    c->terminate(ec);
    if (channel->Connection == c)
      handleConnectFailure(channel, "connect timeout");
  });
}

void WebsocketDialer::onOpen(const ChannelPtr &channel) {
  const auto &c = channel->Connection;
  tunePeerSocket(c->get_raw_socket().native_handle(), Settings.StallTimeout);
  const std::string acceptorNonce = c->get_response_header(NonceHeader);
  const std::string expectedProof = FleetKeyProof::make(
      Settings.FleetKey, ProofSide::Acceptor, channel->Nonce, acceptorNonce);
  if (!FleetKeyProof::equal(expectedProof,
                            c->get_response_header(ProofHeader))) {
    ++Stats.PeersRefused;
    return handleConnectFailure(channel,
                                "peer sent a wrong proof of the fleet's key");
  }
  std::string proof = FleetKeyProof::make(Settings.FleetKey, ProofSide::Dialer,
                                          channel->Nonce, acceptorNonce);
  std::string hello =
      encodePeerMessage(Hello{Settings.Self, Settings.Run, true});
  c->send(proof, text);
  c->send(hello, binary);
  Stats.countSent(false, proof.size());
  Stats.countSent(false, hello.size());
}

void WebsocketDialer::onMessage(const ChannelPtr &channel,
                                const Client::message_ptr &m) {
  const std::string &frame = m->get_payload();
  Stats.countReceived(false, frame.size());
  if (m->get_opcode() == text && frame == GoAwayFrame &&
      channel->CurrentState == OutboundChannel::State::Open)
    return handleGoAway(channel);
  auto message = decodePeerMessage(frame);
  const auto *hello = message.ok() ? std::get_if<Hello>(&*message) : nullptr;
  if (!hello || channel->CurrentState != OutboundChannel::State::Connecting) {
    ++Stats.BadFrames;
    report(channel, absl::StatusCode::kInvalidArgument, "Hello expected");
    ErrorCode ec;
    return channel->Connection->close(close_code::protocol_error,
                                      "Hello expected", ec);
  }
  // The VM list may be outdated: another VM may have the address by now and
  // would receive messages meant for the previous one.
  if (hello->Vm.Id != channel->Link.peer())
    return handleConnectFailure(channel,
                                "address belongs to " + hello->Vm.Id.str());
  channel->CurrentState = OutboundChannel::State::Open;
  channel->Link.recordConnectSuccess();
  Settings.reportConnection(channel->Link.peer(), "outbound-open");
  flush(channel);
}

void WebsocketDialer::handleGoAway(const ChannelPtr &channel) {
  // The connection stays open until the peer has answered what it received.
  Settings.reportConnection(channel->Link.peer(), "peer-stopping");
  channel->CurrentState = OutboundChannel::State::PeerStopping;
  channel->Link.setStopping(true);
  channel->Connection->send(std::string(GoAwayFrame), text);
  Stats.countSent(false, std::strlen(GoAwayFrame));
  returnQueuedFrames(channel);
}

void WebsocketDialer::returnQueuedFrames(const ChannelPtr &channel) {
  QueuedFrame frame;
  while (channel->Link.pop(frame))
    reportUnsent(channel, frame);
}

void WebsocketDialer::flush(const ChannelPtr &channel) {
  QueuedFrame frame;
  auto c = channel->Connection;
  while (!channel->Link.empty()) {
    if (c->get_buffered_amount() > MaxBufferedBytes) {
      Endpoint.set_timer(
          FullBufferRetryMillis,
          [this, channel](const ErrorCode &) { processQueue(channel); });
      return;
    }
    if (!channel->Link.pop(frame))
      return;
    // The connection is closing and did not accept the frame; queued frames are
    // sent on the next one.
    if (c->send(frame.Bytes, binary))
      return channel->Link.putBack(std::move(frame));
    Stats.countSent(frame.IsData, frame.Bytes.size());
  }
}

void WebsocketDialer::onClosed(const ChannelPtr &channel) {
  if (channel->CurrentState == OutboundChannel::State::Connecting) {
    ErrorCode why = channel->Connection->get_ec();
    return handleConnectFailure(channel, why.message());
  }
  channel->CurrentState = OutboundChannel::State::Idle;
  channel->Connection.reset();
  ++Stats.ConnectionsLost;
  Settings.reportConnection(channel->Link.peer(), "outbound-closed");
  reportLoss(channel);
  channel->Link.setStopping(false);
  processQueue(channel); // Frames still queued were not sent.
}

void WebsocketDialer::reportLoss(const ChannelPtr &channel) {
  for (const QueuedFrame &frame : channel->Link.beginLoss())
    reportUnsent(channel, frame);
  Listener.onPeerLost(channel->Link.peer());
  channel->Link.endLoss();
}

void WebsocketDialer::handleConnectFailure(const ChannelPtr &channel,
                                           const std::string &why) {
  dropConnection(channel, close_code::policy_violation, "connect failed");
  ++Stats.ConnectsFailed;
  Settings.reportConnection(channel->Link.peer(), "connect-failed");
  report(channel, absl::StatusCode::kUnavailable, why);
  for (const QueuedFrame &frame :
       channel->Link.recordConnectFailure(steady_clock::now(), Random))
    reportUnsent(channel, frame);
  reportLoss(channel);
}

void WebsocketDialer::reportUnsent(const ChannelPtr &channel,
                                   const QueuedFrame &frame) {
  auto message = decodePeerMessage(frame.Bytes);
  if (message.ok())
    Listener.onSendFailed(channel->Link.peer(), *std::move(message));
}

void WebsocketDialer::dropConnection(const ChannelPtr &channel,
                                     close_code::value code, const char *why) {
  auto c = std::exchange(channel->Connection, nullptr);
  channel->CurrentState = OutboundChannel::State::Idle;
  ErrorCode ec;
  if (c)
    c->close(code, why, ec);
}

void WebsocketDialer::report(const ChannelPtr &channel, absl::StatusCode code,
                             const std::string &why) {
  if (Settings.OnFault)
    Settings.OnFault(
        makeError(code, Step::SendToPeer, channel->Link.peer().str(), why));
}

void WebsocketDialer::beginFlush() {
  for (const ChannelPtr &channel : allChannels())
    channel->Flush = OutboundChannel::FlushState::Pending;
}

bool WebsocketDialer::isFlushed() {
  // A peer answers a ping once it has handled all frames before it.
  bool flushed = true;
  for (const ChannelPtr &channel : allChannels()) {
    bool open = channel->CurrentState == OutboundChannel::State::Open;
    bool empty = channel->Link.empty();
    if (channel->Flush == OutboundChannel::FlushState::Pending && open &&
        empty) {
      channel->Flush = OutboundChannel::FlushState::PingSent;
      ErrorCode ec;
      channel->Connection->ping("", ec);
    }
    bool pending = channel->CurrentState == OutboundChannel::State::Connecting;
    if ((!open && !pending && empty) ||
        (channel->Flush == OutboundChannel::FlushState::PingSent && !open))
      channel->Flush = OutboundChannel::FlushState::Done;
    flushed = flushed && channel->Flush == OutboundChannel::FlushState::Done;
  }
  return flushed;
}

void WebsocketDialer::onPong(const ChannelPtr &channel) {
  if (channel->Flush == OutboundChannel::FlushState::PingSent)
    channel->Flush = OutboundChannel::FlushState::Done;
}

void WebsocketDialer::rejectNewFrames() {
  std::lock_guard<std::mutex> hold(Lock);
  RejectsNewFrames = true;
  for (const auto &[id, channel] : Channels)
    channel->Link.close();
}

bool WebsocketDialer::isDrained() const {
  for (const ChannelPtr &channel : allChannels())
    if (!channel->Link.empty() ||
        channel->CurrentState == OutboundChannel::State::Connecting)
      return false;
  return true;
}

void WebsocketDialer::close() {
  ErrorCode ec;
  for (const ChannelPtr &channel : allChannels())
    if (channel->Connection)
      channel->Connection->close(close_code::going_away, "stopping", ec);
}

bool WebsocketDialer::isClosed() const {
  for (const ChannelPtr &channel : allChannels())
    if (channel->Connection)
      return false;
  return true;
}

} // namespace

std::unique_ptr<PeerDialer>
PeerDialer::create(const PeerTransportSettings &settings,
                   PeerListener &listener, TransportStats &stats,
                   boost::asio::io_context &context) {
  // Works around a data race in websocketpp: its byte order test initializes a
  // static variable on first use, on whichever threads send first. Initialize
  // it on one thread before any other one sends.
  static const uint64_t byteOrderTested = websocketpp::lib::net::_htonll(1);
  (void)byteOrderTested;
  return std::make_unique<WebsocketDialer>(settings, listener, stats, context);
}

} // namespace balsamrack
