#ifndef BALSAMRACK_PACKETS_OPENINGCOPIES_H
#define BALSAMRACK_PACKETS_OPENINGCOPIES_H

#include <cstdint>

#include "Balsamrack/Core/Time.h"
#include "Balsamrack/Packets/Packet.h"

namespace balsamrack {

/// The copies of one opening that have arrived at this daemon, and what follows
/// from their times about copies elsewhere. A caller sends an opening and two
/// copies of it at known intervals until a server answers, so a copy that is
/// due and has not arrived may have opened the flow through another daemon. Not
/// thread-safe.
class OpeningCopies {
public:
  /// Number of the last copy.
  static constexpr uint8_t LastCopy = 2;
  /// Callers retransmit a packet after 200 ms at the earliest, unless the
  /// server has acknowledged others.
  static constexpr Duration MinRetransmissionTime{180'000};

  /// Records the copy \p head, handled at \p now. \p mayHaveWaited: it may have
  /// waited in the socket, unless \p head tells for how long. Precondition: \p
  /// head is an opening, with the sequence number of those before.
  void add(TimePoint now, const PacketHeader &head, bool mayHaveWaited);

  /// True if no copy has arrived.
  bool empty() const { return Seen == 0; }
  /// Number of different copies that have arrived.
  uint8_t count() const;
  /// Highest copy number that has arrived; zero for none.
  uint8_t highest() const;
  /// True if all copies that a caller sends have arrived.
  bool isComplete() const { return Seen == AllCopies; }
  /// True if copies waited in the socket, or arrived at other intervals than
  /// they are sent at.
  bool wereDelayed() const { return Delayed; }
  /// True if no copy is missing between the original opening and the highest
  /// copy that has arrived.
  bool hasNoGap() const { return Seen == bit(highest() + 1) - 1; }
  /// True if the caller has sent no copy after the highest one that has
  /// arrived, by \p now.
  bool isNewest(TimePoint now) const { return now < NextDue; }
  /// True if all copies that the caller has sent by \p now have arrived here,
  /// so that no other daemon has forwarded any.
  bool areAllHere(TimePoint now) const {
    return hasNoGap() && (highest() == LastCopy || isNewest(now));
  }
  /// True if no server has got a packet of the flow through another daemon
  /// before the one that arrives at \p now: until callers can retransmit the
  /// packet that answers the first copy that is missing here.
  bool isUnopenedElsewhere(TimePoint now) const {
    return hasNoGap() && (highest() == LastCopy ||
                          (!Delayed && isNewest(now - MinRetransmissionTime)));
  }
  /// The last time at which the caller is known to have had no answer; the
  /// epoch if not known.
  TimePoint unansweredAt() const { return UnansweredAt; }

private:
  static constexpr uint8_t bit(int n) { return static_cast<uint8_t>(1U << n); }
  static constexpr uint8_t AllCopies = 0b111;

  uint8_t Seen = 0;          ///< One bit for each copy.
  bool Delayed = false;      ///< See wereDelayed().
  bool HasReference = false; ///< A copy has arrived that did not wait.
  Duration ReferenceAge{0};  ///< Age of the first such copy.
  TimePoint ReferenceAt;     ///< When it arrived.
  TimePoint NextDue;      ///< When the caller may send the next copy; the epoch
                          ///< if not known.
  TimePoint UnansweredAt; ///< See unansweredAt().
};

} // namespace balsamrack

#endif // BALSAMRACK_PACKETS_OPENINGCOPIES_H
