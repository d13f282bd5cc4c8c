#ifndef BALSAMRACK_PACKETS_REQUESTTRACKER_H
#define BALSAMRACK_PACKETS_REQUESTTRACKER_H

#include <cstdint>

#include "Balsamrack/Core/Time.h"
#include "Balsamrack/Packets/Packet.h"

namespace balsamrack {

/// What the data of a caller's packet is.
enum class RequestDataKind {
  None,           ///< The packet has none.
  NewRequest,     ///< The first packet of a request.
  Continuation,   ///< A further packet of the same request.
  Retransmission, ///< It came before and its server has not confirmed it: the
                  ///< packet or the confirmation was lost.
};

/// What a caller's packet says of the requests on its open flow.
struct RequestProgress {
  bool Answered = false; ///< The caller has the first bytes of the
                         ///< answer to its last request.
  RequestDataKind Data = RequestDataKind::None; ///< See there.
};

/// Follows the requests on one open flow by its caller's packets alone, since
/// answers don't pass the daemons. A flow that stays open for many requests is
/// work for its server only between a request and its answer; counted as work
/// from its opening to its end, idle flows would look like full slots.
///
/// A request begins with data beyond all that came before, and is answered when
/// its caller acknowledges bytes of the server that it had not acknowledged
/// when it asked. Numbers of bytes wrap around. Not thread-safe.
class RequestTracker {
public:
  /// Data that was sent before is a repetition only when so much time has
  /// passed: callers repeat a lost packet after 200 ms, and packets of one
  /// request overtake each other by a millisecond or two.
  static constexpr Duration MinRetransmissionDelay{100'000};

  /// Takes the next packet. Precondition: \p head does not open a flow.
  RequestProgress handlePacket(TimePoint now, const PacketHeader &head);
  /// True between a request and its answer.
  bool isAwaitingAnswer() const { return AwaitingAnswer; }

  /// When the present or last request began.
  TimePoint requestStartedAt() const { return RequestStartedAt; }

private:
  bool HasData = false;        ///< Data was seen: the numbers below count.
  bool AwaitingAnswer = false; ///< A request has no answer yet.

  uint32_t DataEnd = 0; ///< Behind the last byte that the caller sent.
  uint32_t AcknowledgedAtStart = 0; ///< Acknowledged when it asked.
  TimePoint RequestStartedAt;       ///< See requestStartedAt().
};

} // namespace balsamrack

#endif // BALSAMRACK_PACKETS_REQUESTTRACKER_H
