#include "Balsamrack/Packets/CallerProgress.h"

namespace balsamrack {

namespace {

/// True when byte number \p a comes after \p b.
bool after(uint32_t a, uint32_t b) { return static_cast<int32_t>(a - b) > 0; }

} // namespace

CallerStep CallerProgress::packet(TimePoint now, const PacketHead &head) {
  CallerStep step;
  step.Answered =
      Asking && head.Acknowledges && after(head.Acknowledged, HadOfServer);
  if (step.Answered)
    Asking = false;
  if (head.DataBytes == 0)
    return step;
  uint32_t end = head.Sequence + head.DataBytes;
  if (Known && !after(end, DataEnd)) {
    bool repeated = Asking && now - AskedAt >= RepeatAfter;
    step.Data = repeated ? CallerData::Repeated : CallerData::GoesOn;
    return step;
  }
  Known = true;
  DataEnd = end;
  step.Data = Asking ? CallerData::GoesOn : CallerData::Begins;
  if (!Asking) {
    Asking = true;
    HadOfServer = head.Acknowledged;
    AskedAt = now;
  }
  return step;
}

} // namespace balsamrack
