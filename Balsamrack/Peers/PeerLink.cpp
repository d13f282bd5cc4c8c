#include "Balsamrack/Peers/PeerLink.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "Balsamrack/Core/Errors.h"

namespace balsamrack {

absl::Status PeerLink::makeSendError(absl::StatusCode code,
                                     const char *why) const {
  return makeError(code, Step::SendToPeer, Peer.str(), why);
}

absl::Status PeerLink::push(const EntryVm &to, QueuedFrame frame, Instant now,
                            bool &wake) {
  std::lock_guard<std::mutex> hold(Lock);
  if (Closed)
    return makeSendError(absl::StatusCode::kUnavailable,
                         "transport is stopped");
  if (Stopping)
    return makeSendError(absl::StatusCode::kUnavailable,
                         "the peer is stopping");
  const std::atomic<bool> *cancelled = std::exchange(frame.Cancelled, nullptr);
  if ((ReportingLoss && frame.ReturnOnLoss) || (cancelled && *cancelled))
    return makeSendError(absl::StatusCode::kUnavailable,
                         "the connection was lost");
  // The VM was replaced by one at another address: failures of the old address
  // do not apply to the new one.
  if (RemoteAddress != to.PeerAt)
    NextConnectTime = Instant();
  RemoteAddress = to.PeerAt;
  // No connect is attempted per message after a recent failure: the sender gets
  // the error at once and can try another peer.
  if (now < NextConnectTime)
    return makeSendError(absl::StatusCode::kUnavailable,
                         "the last connect failed; backing off");
  if (Frames.size() >= Settings.MaxQueuedMessages ||
      QueuedBytes + frame.Bytes.size() > Settings.MaxQueuedBytes)
    return makeSendError(absl::StatusCode::kResourceExhausted,
                         "send queue is full");
  QueuedBytes += frame.Bytes.size();
  Frames.push_back(std::move(frame));
  wake = !std::exchange(WakePending, true);
  return absl::OkStatus();
}

Address PeerLink::address() const {
  std::lock_guard<std::mutex> hold(Lock);
  return RemoteAddress;
}

void PeerLink::clearWakePending() {
  std::lock_guard<std::mutex> hold(Lock);
  WakePending = false;
}

bool PeerLink::pop(QueuedFrame &frame) {
  std::lock_guard<std::mutex> hold(Lock);
  if (Frames.empty())
    return false;
  frame = std::move(Frames.front());
  Frames.pop_front();
  QueuedBytes -= frame.Bytes.size();
  return true;
}

void PeerLink::putBack(QueuedFrame frame) {
  std::lock_guard<std::mutex> hold(Lock);
  QueuedBytes += frame.Bytes.size();
  Frames.push_front(std::move(frame));
}

bool PeerLink::empty() const {
  std::lock_guard<std::mutex> hold(Lock);
  return Frames.empty();
}

std::deque<QueuedFrame> PeerLink::recordConnectFailure(Instant now,
                                                       RandomSource &random) {
  std::lock_guard<std::mutex> hold(Lock);
  Backoff = std::clamp(2 * Backoff, Settings.MinBackoff, Settings.MaxBackoff);
  // Half of the delay is random, so that the daemons of a fleet do not
  // reconnect to a restarted daemon at the same time.
  NextConnectTime = now + Backoff / 2 +
                    Duration(random.below(static_cast<uint64_t>(
                        std::max<Duration::rep>(Backoff.count() / 2, 1))));
  QueuedBytes = 0;
  return std::exchange(Frames, {});
}

std::deque<QueuedFrame> PeerLink::beginLoss() {
  std::lock_guard<std::mutex> hold(Lock);
  ReportingLoss = true;
  auto kept = std::stable_partition(
      Frames.begin(), Frames.end(),
      [](const QueuedFrame &frame) { return frame.ReturnOnLoss; });
  std::deque<QueuedFrame> returned(std::make_move_iterator(Frames.begin()),
                                   std::make_move_iterator(kept));
  Frames.erase(Frames.begin(), kept);
  for (const QueuedFrame &frame : returned)
    QueuedBytes -= frame.Bytes.size();
  return returned;
}

void PeerLink::endLoss() {
  std::lock_guard<std::mutex> hold(Lock);
  ReportingLoss = false;
}

void PeerLink::setStopping(bool stopping) {
  std::lock_guard<std::mutex> hold(Lock);
  Stopping = stopping;
}

void PeerLink::recordConnectSuccess() {
  std::lock_guard<std::mutex> hold(Lock);
  Backoff = Duration(0);
  NextConnectTime = Instant();
}

void PeerLink::close() {
  std::lock_guard<std::mutex> hold(Lock);
  Closed = true;
}

} // namespace balsamrack
