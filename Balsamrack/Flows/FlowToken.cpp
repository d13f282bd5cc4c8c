#include "Balsamrack/Flows/FlowToken.h"

#include "absl/strings/escaping.h"

namespace balsamrack {

namespace {

constexpr char Version = 1;
constexpr size_t WordBytes = 8;
constexpr size_t AuthenticatedBytes = 1 + 4 * WordBytes;
constexpr size_t TokenBytes = AuthenticatedBytes + WordBytes;

void appendWord(std::string &bytes, uint64_t word) {
  for (size_t i = 0; i < WordBytes; ++i)
    bytes.push_back(static_cast<char>((word >> (8 * i)) & 0xFF));
}

/// Reads up to eight bytes, little-endian. Precondition: at + n <=
/// bytes.size().
uint64_t readWord(const std::string &bytes, size_t at, size_t n = WordBytes) {
  uint64_t word = 0;
  for (size_t i = 0; i < n; ++i)
    word |= static_cast<uint64_t>(static_cast<unsigned char>(bytes[at + i]))
            << (8 * i);
  return word;
}

uint64_t rotate(uint64_t x, int bits) {
  return (x << bits) | (x >> (64 - bits));
}

/// State of SipHash (Aumasson, Bernstein 2012).
struct SipState {
  uint64_t V0, V1, V2, V3;

  void round() {
    V0 += V1;
    V1 = rotate(V1, 13) ^ V0;
    V0 = rotate(V0, 32);
    V2 += V3;
    V3 = rotate(V3, 16) ^ V2;
    V0 += V3;
    V3 = rotate(V3, 21) ^ V0;
    V2 += V1;
    V1 = rotate(V1, 17) ^ V2;
    V2 = rotate(V2, 32);
  }

  void absorb(uint64_t word) {
    V3 ^= word;
    round();
    round();
    V0 ^= word;
  }

  uint64_t finish() {
    V2 ^= 0xFF;
    for (int i = 0; i < 4; ++i)
      round();
    return V0 ^ V1 ^ V2 ^ V3;
  }
};

} // namespace

FlowTokenCodec::FlowTokenCodec(const std::string &fleetKey)
    : KeyLow(stableHash(fleetKey, 1)), KeyHigh(stableHash(fleetKey, 2)) {}

uint64_t FlowTokenCodec::computeMac(const std::string &bytes) const {
  SipState sip{KeyLow ^ 0x736F6D6570736575ULL, KeyHigh ^ 0x646F72616E646F6DULL,
               KeyLow ^ 0x6C7967656E657261ULL, KeyHigh ^ 0x7465646279746573ULL};
  size_t at = 0;
  for (; at + WordBytes <= AuthenticatedBytes; at += WordBytes)
    sip.absorb(readWord(bytes, at));
  uint64_t last = readWord(bytes, at, AuthenticatedBytes - at);
  sip.absorb(last | static_cast<uint64_t>(AuthenticatedBytes) << 56);
  return sip.finish();
}

std::string FlowTokenCodec::encode(const FlowToken &token) const {
  std::string bytes(1, Version);
  appendWord(bytes, token.ServiceHash);
  appendWord(bytes, token.ServerHash);
  appendWord(bytes, token.Flow.Value);
  appendWord(bytes, token.Ticket.Value);
  appendWord(bytes, computeMac(bytes));
  return absl::WebSafeBase64Escape(bytes);
}

std::optional<FlowToken> FlowTokenCodec::decode(const std::string &text) const {
  std::string bytes;
  if (text.size() > 2 * TokenBytes ||
      !absl::WebSafeBase64Unescape(text, &bytes) ||
      bytes.size() != TokenBytes || bytes[0] != Version ||
      readWord(bytes, AuthenticatedBytes) != computeMac(bytes))
    return std::nullopt;
  FlowToken token;
  token.ServiceHash = readWord(bytes, 1);
  token.ServerHash = readWord(bytes, 1 + WordBytes);
  token.Flow.Value = readWord(bytes, 1 + 2 * WordBytes);
  token.Ticket.Value = readWord(bytes, 1 + 3 * WordBytes);
  // Base64 allows several encodings of the same bytes; accept only the
  // canonical one.
  return encode(token) == text ? std::optional<FlowToken>(token) : std::nullopt;
}

} // namespace balsamrack
