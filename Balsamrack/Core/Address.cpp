#include "Balsamrack/Core/Address.h"

#include <arpa/inet.h>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace balsamrack {

absl::StatusOr<Address> Address::parse(const std::string &text) {
  size_t colon = text.rfind(':');
  uint32_t port = 0;
  in_addr parsed{};
  if (colon == std::string::npos ||
      !absl::SimpleAtoi(text.substr(colon + 1), &port) || port > 65535)
    return absl::InvalidArgumentError(
        absl::StrCat("not an ip:port: ", text.substr(0, 64)));
  Address address{text.substr(0, colon), static_cast<uint16_t>(port)};
  if (inet_pton(AF_INET, address.Ip.c_str(), &parsed) != 1)
    return absl::InvalidArgumentError(
        absl::StrCat("not an IPv4 address: ", text.substr(0, 64)));
  return address;
}

std::string Address::str() const { return absl::StrCat(Ip, ":", Port); }

} // namespace balsamrack
