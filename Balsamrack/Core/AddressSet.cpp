#include "Balsamrack/Core/AddressSet.h"

#include <algorithm>
#include <arpa/inet.h>
#include <optional>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace balsamrack {

namespace {

constexpr uint32_t AddressBits = 32;

std::optional<uint32_t> parseIpv4(const std::string &text) {
  in_addr parsed{};
  if (inet_pton(AF_INET, text.c_str(), &parsed) != 1)
    return std::nullopt;
  return ntohl(parsed.s_addr);
}

} // namespace

absl::StatusOr<AddressSet>
AddressSet::parse(const std::vector<std::string> &list) {
  AddressSet set;
  for (const std::string &text : list) {
    size_t slash = text.find('/');
    uint32_t bits = AddressBits;
    auto address = parseIpv4(text.substr(0, slash));
    bool ok = address.has_value();
    if (slash != std::string::npos)
      ok = ok && absl::SimpleAtoi(text.substr(slash + 1), &bits) &&
           bits <= AddressBits;
    if (!ok)
      return absl::InvalidArgumentError(
          absl::StrCat("not an IPv4 address or CIDR range (a.b.c.d/bits): ",
                       text.substr(0, 64)));
    uint32_t mask = bits == 0 ? 0 : ~uint32_t(0) << (AddressBits - bits);
    set.Ranges.push_back({*address & mask, mask});
  }
  return set;
}

bool AddressSet::contains(const std::string &ip) const {
  auto address = parseIpv4(ip);
  return address &&
         std::any_of(Ranges.begin(), Ranges.end(), [&](const Range &r) {
           return (*address & r.Mask) == r.First;
         });
}

} // namespace balsamrack
