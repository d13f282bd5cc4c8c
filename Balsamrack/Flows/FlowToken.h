#ifndef BALSAMRACK_FLOWS_FLOWTOKEN_H
#define BALSAMRACK_FLOWS_FLOWTOKEN_H

#include <cstdint>
#include <optional>
#include <string>

#include "Balsamrack/Core/Ids.h"

namespace balsamrack {

/// What a token says. Names are carried as stable hashes, so that a token has a
/// fixed length and can only pick from what the view holds.
struct FlowToken {
  uint64_t ServiceHash = 0; ///< Of the service that issued it.
  uint64_t ServerHash = 0;  ///< Of the server that answered.
  FlowId Flow;              ///< The flow that it was issued to.
  TicketNumber Ticket;      ///< In force at the daemon that issued it.
};

/// Makes and reads tokens. All daemons of a fleet share the key. Immutable, so
/// thread-safe.
///
/// Failure guarded against: a caller that makes up a token, or returns one of
/// another service, would reach a server of its choice. The code (SipHash-2-4:
/// Aumasson, Bernstein 2012) makes made-up tokens unreadable; even with the key
/// known, the router looks the server up within the service that the packet
/// came in on, so a token never chooses a service.
class FlowTokenCodec {
public:
  /// Derives the code's key from \p fleetKey; any string will do.
  explicit FlowTokenCodec(const std::string &fleetKey);

  /// The token as header-safe text (base64url). Thread-safe.
  std::string encode(const FlowToken &token) const;
  /// Reads a token; nothing for any text that encode() did not make with the
  /// same key. Never fails otherwise, whatever the text. Thread-safe.
  std::optional<FlowToken> decode(const std::string &text) const;

private:
  uint64_t computeMac(const std::string &bytes) const;

  uint64_t KeyLow;  ///< First half of the SipHash key.
  uint64_t KeyHigh; ///< Second half.
};

} // namespace balsamrack

#endif // BALSAMRACK_FLOWS_FLOWTOKEN_H
