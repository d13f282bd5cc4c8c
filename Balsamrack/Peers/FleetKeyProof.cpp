#include "Balsamrack/Peers/FleetKeyProof.h"

#include <algorithm>
#include <array>
#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>

#include "absl/strings/ascii.h"

namespace balsamrack {

namespace {

constexpr size_t NonceBytes = 16;
constexpr size_t ProofBytes = 32; // SHA-256

template <size_t N> std::string hex(const std::array<unsigned char, N> &raw) {
  constexpr const char *digits = "0123456789abcdef";
  std::string text;
  for (unsigned char byte : raw) {
    text.push_back(digits[byte >> 4]);
    text.push_back(digits[byte & 15]);
  }
  return text;
}

} // namespace

std::string FleetKeyProof::makeNonce() {
  std::array<unsigned char, NonceBytes> raw{};
  gnutls_rnd(GNUTLS_RND_NONCE, raw.data(), raw.size());
  return hex(raw);
}

bool FleetKeyProof::isNonce(const std::string &text) {
  return text.size() == 2 * NonceBytes &&
         std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return absl::ascii_isxdigit(c); });
}

std::string FleetKeyProof::make(const std::string &key, ProofSide side,
                                const std::string &dialerNonce,
                                const std::string &acceptorNonce) {
  std::string text = side == ProofSide::Dialer ? "dialer:" : "acceptor:";
  text += dialerNonce + ":" + acceptorNonce;
  std::array<unsigned char, ProofBytes> raw{};
  gnutls_hmac_fast(GNUTLS_MAC_SHA256, key.data(), key.size(), text.data(),
                   text.size(), raw.data());
  return hex(raw);
}

bool FleetKeyProof::equal(const std::string &a, const std::string &b) {
  return a.size() == b.size() &&
         gnutls_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace balsamrack
