#include "Balsamrack/Packets/Packet.h"

#include <arpa/inet.h>

namespace balsamrack {

Endpoint Endpoint::of(const Address &address) {
  in_addr raw{};
  if (inet_pton(AF_INET, address.Ip.c_str(), &raw) != 1)
    return {};
  return {ntohl(raw.s_addr), address.Port};
}

Address Endpoint::address() const {
  char text[INET_ADDRSTRLEN] = "";
  in_addr raw{htonl(Ip)};
  inet_ntop(AF_INET, &raw, text, sizeof text);
  return {text, Port};
}

} // namespace balsamrack
