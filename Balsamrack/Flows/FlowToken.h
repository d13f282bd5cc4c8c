#ifndef BALSAMRACK_FLOWS_FLOWTOKEN_H
#define BALSAMRACK_FLOWS_FLOWTOKEN_H

#include <cstdint>
#include <optional>
#include <string>

#include "Balsamrack/Core/Ids.h"

namespace balsamrack {

/// Content of a token. Names are stored as stable hashes, so that a token has a
/// fixed length and can only select among the services and servers of the view.
struct FlowToken {
  uint64_t ServiceHash = 0; ///< Hash of the service that issued it.
  uint64_t ServerHash = 0;  ///< Hash of the server that answered.
  FlowId Flow;              ///< The flow that it was issued for.
  TicketNumber Ticket;      ///< Ticket in force at the issuing daemon.
};

/// Encodes and decodes tokens. All daemons of a fleet share the key. Immutable,
/// so thread-safe.
///
/// Tokens are authenticated, because otherwise a caller could reach a server of
/// its choice with a forged token or one of another service. The message
/// authentication code (SipHash-2-4: Aumasson, Bernstein 2012) causes forged
/// tokens to be rejected. Even if the key is known, the router looks the server
/// up within the service that the packet arrived on, so a token never selects a
/// service.
class FlowTokenCodec {
public:
  /// Derives the key of the authentication code from \p fleetKey, which may be
  /// any string.
  explicit FlowTokenCodec(const std::string &fleetKey);

  /// Encodes a token as header-safe text (base64url). Thread-safe.
  std::string encode(const FlowToken &token) const;
  /// Decodes a token; empty for any text that encode() did not produce with the
  /// same key. Accepts arbitrary text. Thread-safe.
  std::optional<FlowToken> decode(const std::string &text) const;

private:
  uint64_t computeMac(const std::string &bytes) const;

  uint64_t KeyLow;  ///< First half of the SipHash key.
  uint64_t KeyHigh; ///< Second half.
};

} // namespace balsamrack

#endif // BALSAMRACK_FLOWS_FLOWTOKEN_H
