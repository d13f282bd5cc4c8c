#ifndef BALSAMRACK_UNITTESTS_HTTP_RESERVEDPORT_H
#define BALSAMRACK_UNITTESTS_HTTP_RESERVEDPORT_H

#include "Balsamrack/Core/Address.h"

namespace balsamrack {

/// A port of 127.0.0.1 without a listener. Tests that run concurrently do not
/// get the same port, but a process may still be started to listen on it.
class ReservedPort {
public:
  ReservedPort();
  ReservedPort(const ReservedPort &) = delete;
  ReservedPort &operator=(const ReservedPort &) = delete;
  ~ReservedPort();

  const Address &at() const { return At; }

private:
  int Fd;
  Address At;
};

} // namespace balsamrack

#endif // BALSAMRACK_UNITTESTS_HTTP_RESERVEDPORT_H
