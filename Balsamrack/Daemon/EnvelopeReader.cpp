#include "Balsamrack/Daemon/EnvelopeReader.h"

#include "Balsamrack/Core/Address.h"
#include "Balsamrack/Core/Errors.h"
#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace balsamrack {

namespace {

constexpr size_t MaxKeyBytes = 255;
constexpr int64_t MaxTimeoutMs = 3'600'000;

absl::Status fieldError(const std::string &peer, const std::string &what) {
  return makeError(absl::StatusCode::kInvalidArgument, Step::DecodeEnvelope,
                   peer, what);
}

/// Returns the "for" parameter of the first element of a Forwarded field (RFC
/// 7239), unquoted; empty if there is none.
std::string forwardedFor(const std::string &field) {
  const std::string first = std::string(absl::StripAsciiWhitespace(
      std::vector<std::string>(absl::StrSplit(field, ','))[0]));
  for (const absl::string_view part : absl::StrSplit(first, ';')) {
    const std::string pair(absl::StripAsciiWhitespace(part));
    if (!absl::StartsWithIgnoreCase(pair, "for="))
      continue;
    std::string value = pair.substr(4);
    if (value.size() >= 2 && value.front() == '"' && value.back() == '"')
      value = value.substr(1, value.size() - 2);
    return value;
  }
  return "";
}

/// Idempotent methods (RFC 9110, 9.2.2) may run again; all others run once.
Semantics semanticsOf(const std::string &method) {
  for (const char *it : {"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"})
    if (method == it)
      return Semantics::Idempotent;
  return Semantics::RunOnce;
}

/// Replaces a hash of zero, which stands for "none" in caller and flow ids.
uint64_t nonZero(uint64_t hash) { return hash == 0 ? 1 : hash; }

} // namespace

std::string headerValue(const HeaderList &headers, const char *name) {
  for (const auto &[key, value] : headers)
    if (absl::EqualsIgnoreCase(key, name))
      return value;
  return "";
}

absl::StatusOr<DecodedEnvelope> readEnvelope(const Service &service,
                                             const std::string &peerIp,
                                             const Message &message) {
  DecodedEnvelope result;
  Envelope &head = result.Head;
  head.Service = service.Id;
  head.Kind = semanticsOf(message.Method);
  head.Trace = headerValue(message.Headers, "traceparent");
  result.Token = headerValue(message.Headers, "Balsamrack-Token");

  // Identify the flow and its caller.
  std::string caller = peerIp;
  const std::string forwarded = headerValue(message.Headers, "Forwarded");
  if (!forwarded.empty()) {
    caller = forwardedFor(forwarded);
    if (!Address::parse(caller).ok())
      return fieldError(peerIp, "Forwarded: no for=\"IP:PORT\" in it");
  }
  head.Flow.Value = nonZero(stableHash(caller, service.Id.hash()));
  head.Caller.Value = nonZero(stableHash(caller.substr(0, caller.rfind(':'))));

  // Read the packet's number in the flow.
  uint64_t number = 1;
  const std::string packet = headerValue(message.Headers, "Balsamrack-Packet");
  if (!packet.empty() && (!absl::SimpleAtoi(packet, &number) || number == 0))
    return fieldError(peerIp, "Balsamrack-Packet: no number above zero");
  head.FirstOfFlow = number == 1;

  // Read the idempotency key and the time for which the caller waits.
  const std::string key = headerValue(message.Headers, "Idempotency-Key");
  if (key.size() > MaxKeyBytes)
    return fieldError(peerIp, "Idempotency-Key: longer than 255 bytes");
  head.Key = digestKey(service.Id, key);
  head.Remaining = service.DefaultTimeout;
  const std::string timeout = headerValue(message.Headers, "Request-Timeout");
  int64_t ms = 0;
  if (!timeout.empty()) {
    if (!absl::SimpleAtoi(timeout, &ms) || ms <= 0 || ms > MaxTimeoutMs)
      return fieldError(peerIp, "Request-Timeout: no milliseconds from 1 to "
                                "3600000");
    head.Remaining = std::chrono::milliseconds(ms);
  }
  return result;
}

} // namespace balsamrack
