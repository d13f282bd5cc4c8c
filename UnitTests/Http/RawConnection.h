#ifndef BALSAMRACK_UNITTESTS_HTTP_RAWCONNECTION_H
#define BALSAMRACK_UNITTESTS_HTTP_RAWCONNECTION_H

#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "Balsamrack/Core/Address.h"

namespace balsamrack {

/// A TCP connection for tests that sends and receives raw bytes. Reads time out
/// after ten seconds.
class RawConnection {
public:
  /// Takes ownership of an open socket; -1 for none.
  explicit RawConnection(int fd);
  RawConnection(RawConnection &&other) noexcept = default;
  RawConnection &operator=(RawConnection &&other) noexcept;
  ~RawConnection();

  /// Connects to \p at; isOpen() tells whether it succeeded.
  static RawConnection connectTo(const Address &at);
  /// Waits for a connection on the listening socket \p fd.
  static RawConnection acceptOn(int fd);

  bool isOpen() const { return Shared && Shared->Fd >= 0; }
  /// Sends all of \p bytes; false when the connection failed.
  bool sendAll(const std::string &bytes) const;
  /// Reads one HTTP message: the header, and the body as given by its
  /// Content-Length. Empty when the connection ends within the header.
  std::string readMessage();
  /// Reads until the peer closes the connection.
  std::string readToEnd();
  /// Closes the connection; with \p reset the peer receives a reset.
  void close(bool reset = false);
  /// Returns a function that ends the connection's blocking calls from another
  /// thread. Harmless when the connection is closed already.
  std::function<void()> interrupter() const;

private:
  /// The lock keeps an interrupter from using a descriptor that was closed and
  /// reused for something else.
  struct Handle {
    std::mutex Lock;
    int Fd = -1;
  };

  bool readMore();

  std::shared_ptr<Handle> Shared;
  std::string Buffer; ///< Received, but not returned yet.
};

/// Waits until \p condition holds, for a minute at most: far longer than any
/// condition takes, even with sanitizers on a busy machine.
bool waitUntil(const std::function<bool()> &condition);

} // namespace balsamrack

#endif // BALSAMRACK_UNITTESTS_HTTP_RAWCONNECTION_H
