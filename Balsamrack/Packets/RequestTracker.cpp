#include "Balsamrack/Packets/RequestTracker.h"

namespace balsamrack {

namespace {

/// True when sequence number \p a is after \p b, with wrap-around.
bool after(uint32_t a, uint32_t b) { return static_cast<int32_t>(a - b) > 0; }

} // namespace

RequestProgress RequestTracker::handlePacket(TimePoint now,
                                             const PacketHeader &head) {
  RequestProgress step;
  step.Answered = AwaitingAnswer && head.Acknowledges &&
                  after(head.Acknowledged, AcknowledgedAtStart);
  if (step.Answered)
    AwaitingAnswer = false;
  if (head.DataBytes == 0)
    return step;
  uint32_t end = head.Sequence + head.DataBytes;
  if (HasData && !after(end, DataEnd)) {
    bool repeated =
        AwaitingAnswer && now - RequestStartedAt >= MinRetransmissionDelay;
    step.Data = repeated ? RequestDataKind::Retransmission
                         : RequestDataKind::Continuation;
    return step;
  }
  HasData = true;
  DataEnd = end;
  step.Data = AwaitingAnswer ? RequestDataKind::Continuation
                             : RequestDataKind::NewRequest;
  if (!AwaitingAnswer) {
    AwaitingAnswer = true;
    AcknowledgedAtStart = head.Acknowledged;
    RequestStartedAt = now;
  }
  return step;
}

} // namespace balsamrack
