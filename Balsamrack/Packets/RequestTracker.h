#ifndef BALSAMRACK_PACKETS_REQUESTTRACKER_H
#define BALSAMRACK_PACKETS_REQUESTTRACKER_H

#include <cstdint>

#include "Balsamrack/Core/Time.h"
#include "Balsamrack/Packets/Packet.h"

namespace balsamrack {

/// Classification of the data in a caller's packet.
enum class RequestDataKind {
  None,           ///< The packet carries no data.
  NewRequest,     ///< The first packet of a request.
  Continuation,   ///< Another packet of the same request.
  Retransmission, ///< Data that was sent before and is not acknowledged: the
                  ///< packet or its acknowledgement was lost.
};

/// Progress of the requests on an open flow, as shown by one packet.
struct RequestProgress {
  bool Answered = false; ///< The caller has received the first bytes of the
                         ///< answer to its last request.
  RequestDataKind Data = RequestDataKind::None; ///< Kind of the packet's data.
};

/// Tracks the requests on one open flow from its caller's packets alone, since
/// answers do not pass through the daemons. A flow that stays open for many
/// requests occupies its server only between a request and its answer. If it
/// were counted from opening to end, idle flows would appear to occupy slots.
///
/// A request begins with data beyond all previous data. It is answered when the
/// caller acknowledges bytes of the server beyond those acknowledged at its
/// start. Sequence numbers wrap around. Not thread-safe.
class RequestTracker {
public:
  /// Data that was sent before counts as a retransmission only after this time:
  /// callers retransmit a lost packet after 200 ms, and packets of one request
  /// may be reordered by a millisecond or two.
  static constexpr Duration MinRetransmissionDelay{100'000};

  /// Handles the next packet. Precondition: \p head is not an opening.
  RequestProgress handlePacket(TimePoint now, const PacketHeader &head);
  /// True between a request and its answer.
  bool isAwaitingAnswer() const { return AwaitingAnswer; }

  /// When the current or last request began.
  TimePoint requestStartedAt() const { return RequestStartedAt; }

private:
  bool HasData = false;        ///< Data was seen; the numbers below are valid.
  bool AwaitingAnswer = false; ///< A request is unanswered.

  uint32_t DataEnd = 0; ///< One past the last byte that the caller sent.
  uint32_t AcknowledgedAtStart =
      0; ///< Acknowledged bytes at the start of the request.
  TimePoint RequestStartedAt; ///< See requestStartedAt().
};

} // namespace balsamrack

#endif // BALSAMRACK_PACKETS_REQUESTTRACKER_H
