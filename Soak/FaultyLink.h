#ifndef BALSAMRACK_SOAK_FAULTYLINK_H
#define BALSAMRACK_SOAK_FAULTYLINK_H

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <queue>
#include <set>
#include <thread>
#include <vector>

#include "Balsamrack/Core/Address.h"
#include "Balsamrack/Core/ListenSocket.h"
#include "Balsamrack/Core/Random.h"
#include "Balsamrack/Core/Time.h"
#include "absl/status/statusor.h"

namespace balsamrack::soak {

/// Fractions of datagrams that a link drops, duplicates or delays.
struct LinkFaults {
  uint32_t LossPerThousand = 0;       ///< Dropped.
  uint32_t DuplicatesPerThousand = 0; ///< Forwarded twice.
  uint32_t DelaysPerThousand = 0;     ///< Delayed by up to 30 ms and reordered.
};

/// A loopback proxy for datagrams in one direction. The packet carrier needs no
/// other: answers are sent directly to the caller. It can also accept TCP
/// connections at its address, as the server behind it would. Thread-safe.
class FaultyLink {
public:
  /// Forwards datagrams from \p at to \p to; with \p acceptsTcp it also accepts
  /// connections. Error (step listen) if the address is in use.
  static absl::StatusOr<std::unique_ptr<FaultyLink>>
  create(const Address &at, const Address &to, bool acceptsTcp, uint64_t seed);
  ~FaultyLink();
  FaultyLink(const FaultyLink &) = delete;
  FaultyLink &operator=(const FaultyLink &) = delete;

  /// Sets the faults for datagrams received from now on.
  void setFaults(const LinkFaults &faults);
  /// Starts or stops dropping all datagrams and refusing connections.
  void setSilent(bool silent) { Silent = silent; }
  /// Starts or stops dropping datagrams from \p ip.
  void setSourceBlocked(const std::string &ip, bool blocked);

private:
  struct DelayedDatagram {
    TimePoint Due;
    std::vector<uint8_t> Bytes;
    friend bool operator>(const DelayedDatagram &a, const DelayedDatagram &b) {
      return a.Due > b.Due;
    }
  };

  FaultyLink(int fd, Address at, const Address &to, bool acceptsTcp,
             uint64_t seed);
  void run();
  void receiveDatagrams(TimePoint now);
  void acceptConnections();
  void forward(const std::vector<uint8_t> &bytes) const;

  const int Fd;
  const Address At;
  const Address To;
  const bool AcceptsTcp;
  std::atomic<bool> Silent{false};
  std::atomic<bool> Stopping{false};
  std::mutex Lock; ///< Guards the next two members.
  LinkFaults Faults;
  std::set<uint32_t> BlockedSources;
  SeededRandom Random; ///< Used only by the thread, like Delayed and Listener.
  std::priority_queue<DelayedDatagram, std::vector<DelayedDatagram>,
                      std::greater<DelayedDatagram>>
      Delayed;
  std::unique_ptr<ListenSocket>
      Listener; ///< Null while connections are refused.
  std::thread Loop;
};

} // namespace balsamrack::soak

#endif // BALSAMRACK_SOAK_FAULTYLINK_H
