#ifndef BALSAMRACK_PEERS_FLEETKEYPROOF_H
#define BALSAMRACK_PEERS_FLEETKEYPROOF_H

#include <string>

namespace balsamrack {

/// The end of a connection that proves knowledge of the fleet's key.
enum class ProofSide { Dialer, Acceptor };

/// Proves knowledge of the fleet's key without sending it: HMAC-SHA-256 over
/// the side and the nonces of both ends. An intercepted proof is invalid on any
/// other connection, and the proof of one side can't be reflected as the
/// other's.
class FleetKeyProof {
public:
  /// Returns a nonce of 32 random hex digits. Thread-safe.
  static std::string makeNonce();
  /// True if \p text has the form of a nonce from makeNonce(). Thread-safe.
  static bool isNonce(const std::string &text);
  /// Computes the proof of \p side, 64 hex digits. Thread-safe.
  static std::string make(const std::string &key, ProofSide side,
                          const std::string &dialerNonce,
                          const std::string &acceptorNonce);
  /// True if both texts are equal. Takes the same time for all texts of one
  /// size. Thread-safe.
  static bool equal(const std::string &a, const std::string &b);
};

} // namespace balsamrack

#endif // BALSAMRACK_PEERS_FLEETKEYPROOF_H
