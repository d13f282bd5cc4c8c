#include "Balsamrack/Peers/WebsocketTransport.h"

#include <future>
#include <mutex>
#include <system_error>
#include <thread>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Balsamrack/Core/Errors.h"
#include "Balsamrack/Peers/PeerAcceptor.h"
#include "Balsamrack/Peers/PeerDialer.h"

namespace balsamrack {

namespace {

using std::chrono::steady_clock;

constexpr std::chrono::milliseconds
    CloseTimeout(500); ///< For the closing handshakes.
constexpr std::chrono::milliseconds
    StopPollInterval(2); ///< Between checks for completion.

class AsioTransport final : public WebsocketTransport {
public:
  explicit AsioTransport(PeerTransportSettings settings)
      : Settings(std::move(settings)) {}
  ~AsioTransport() override { AsioTransport::stop(); }

  absl::Status start(PeerListener &listener);
  absl::Status send(const EntryVm &to, const PeerMessage &message) override {
    return enqueue(to, message, nullptr);
  }
  absl::Status sendForward(const EntryVm &to, const Forward &message,
                           const std::atomic<bool> &cancelled) override {
    return enqueue(to, message, &cancelled);
  }
  TransportCounters counters() const override { return Stats.snapshot(); }
  bool flush(Duration limit) override;
  bool stopReceiving(Duration limit) override;
  void stop() override;
  Address at() const override { return Acceptor->at(); }

private:
  absl::Status enqueue(const EntryVm &to, const PeerMessage &message,
                       const std::atomic<bool> *cancelled);
  void run();
  void drain(steady_clock::time_point deadline);
  void closeAcceptor(steady_clock::time_point deadline);
  void finish(steady_clock::time_point deadline);
  template <class Then> void scheduleCheck(Then check);
  template <class Condition>
  bool awaitOnContext(Condition done, Duration limit);

  const PeerTransportSettings Settings;
  TransportStats Stats;
  boost::asio::io_context Context{1};
  std::unique_ptr<PeerAcceptor> Acceptor;
  std::unique_ptr<PeerDialer> Dialer;
  bool StoppedReceiving = false; ///< stopReceiving() was called.
  std::mutex StopLock;           ///< Held while the thread is joined.
  std::thread IoThread;
};

absl::Status AsioTransport::start(PeerListener &listener) {
  // The acceptor receives nothing before the thread runs, and the dialer exists
  // by then.
  auto acceptor = PeerAcceptor::create(
      Settings, listener, Stats, Context,
      [this](const VmId &peer) { Dialer->resetBackoff(peer); });
  if (!acceptor.ok())
    return acceptor.status();
  Acceptor = *std::move(acceptor);
  Dialer = PeerDialer::create(Settings, listener, Stats, Context);
  try {
    IoThread = std::thread([this] { run(); });
  } catch (const std::system_error &e) {
    return makeError(absl::StatusCode::kInternal, Step::Listen,
                     Settings.Listen.str(), e.what());
  }
  return absl::OkStatus();
}

absl::Status AsioTransport::enqueue(const EntryVm &to,
                                    const PeerMessage &message,
                                    const std::atomic<bool> *cancelled) {
  if (std::holds_alternative<Hello>(message))
    return makeError(absl::StatusCode::kInvalidArgument, Step::SendToPeer,
                     to.Id.str(), "Hello is sent by the transport only");
  QueuedFrame frame{encodePeerMessage(message), isDataMessage(message),
                    std::holds_alternative<Forward>(message), cancelled};
  if (frame.Bytes.size() > Settings.MaxFrameBytes)
    return makeError(absl::StatusCode::kInvalidArgument, Step::SendToPeer,
                     to.Id.str(), "message is too large");
  return Dialer->send(to, std::move(frame));
}

void AsioTransport::run() {
  auto work = boost::asio::make_work_guard(Context);
  while (!Context.stopped()) {
    // websocketpp reports some errors by exceptions; an error of one connection
    // must not end the thread that serves all of them.
    try {
      Context.run();
    } catch (const std::exception &e) {
      if (Settings.OnFault)
        Settings.OnFault(makeError(absl::StatusCode::kInternal,
                                   Step::SendToPeer, "", e.what()));
    }
  }
}

template <class Then> void AsioTransport::scheduleCheck(Then check) {
  auto timer =
      std::make_shared<boost::asio::steady_timer>(Context, StopPollInterval);
  timer->async_wait(
      [timer, check](const boost::system::error_code &) { check(); });
}

template <class Condition>
bool AsioTransport::awaitOnContext(Condition done, Duration limit) {
  const auto deadline = steady_clock::now() + limit;
  while (!Context.stopped()) {
    std::promise<bool> result;
    boost::asio::post(Context, [&] { result.set_value(done()); });
    if (result.get_future().get())
      return true;
    if (steady_clock::now() >= deadline)
      return false;
    std::this_thread::sleep_for(StopPollInterval);
  }
  return true;
}

bool AsioTransport::flush(Duration limit) {
  boost::asio::post(Context, [this] { Dialer->beginFlush(); });
  return awaitOnContext([this] { return Dialer->isFlushed(); }, limit);
}

bool AsioTransport::stopReceiving(Duration limit) {
  StoppedReceiving = true;
  boost::asio::post(Context, [this] { Acceptor->beginDrain(); });
  return awaitOnContext([this] { return Acceptor->isDrained(); }, limit);
}

void AsioTransport::drain(steady_clock::time_point deadline) {
  if (!Dialer->isDrained() && steady_clock::now() < deadline)
    return scheduleCheck([this, deadline] { drain(deadline); });
  Dialer->close();
  closeAcceptor(steady_clock::now() + Settings.DrainTimeout);
}

void AsioTransport::closeAcceptor(steady_clock::time_point deadline) {
  // A peer takes the end of its connection to this daemon for a loss. By then
  // it must have received all answers, which the closing handshakes of this
  // daemon's connections follow.
  if (!Dialer->isClosed() && steady_clock::now() < deadline)
    return scheduleCheck([this, deadline] { closeAcceptor(deadline); });
  Acceptor->close();
  finish(steady_clock::now() + CloseTimeout);
}

void AsioTransport::finish(steady_clock::time_point deadline) {
  bool closed = Dialer->isClosed() && Acceptor->isClosed();
  if (!closed && steady_clock::now() < deadline)
    return scheduleCheck([this, deadline] { finish(deadline); });
  Context.stop();
}

void AsioTransport::stop() {
  std::lock_guard<std::mutex> lock(StopLock);
  if (!IoThread.joinable())
    return;
  // Receive first, so that the listener can answer what peers have sent.
  if (!StoppedReceiving)
    stopReceiving(Settings.DrainTimeout);
  Dialer->rejectNewFrames();
  boost::asio::post(
      Context, [this] { drain(steady_clock::now() + Settings.DrainTimeout); });
  IoThread.join();
}

} // namespace

absl::StatusOr<std::unique_ptr<WebsocketTransport>>
WebsocketTransport::create(const PeerTransportSettings &settings,
                           PeerListener &listener) {
  auto transport = std::make_unique<AsioTransport>(settings);
  absl::Status status = transport->start(listener);
  if (!status.ok())
    return status;
  return transport;
}

} // namespace balsamrack
