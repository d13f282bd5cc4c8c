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

/// How a link harms datagrams. Shares are per thousand.
struct LinkFaults {
  uint32_t LossPerThousand = 0;       ///< Vanish.
  uint32_t DuplicatesPerThousand = 0; ///< Come twice.
  uint32_t DelaysPerThousand = 0;     ///< Come up to 30 ms late, behind others.
};

/// A loopback proxy for datagrams in one direction, which is all that a packet
/// carrier needs: answers go straight back. May also take TCP connections at
/// its address, as the server behind it would. Thread-safe.
class FaultyLink {
public:
  /// Passes datagrams that come to \p at on to \p to; with \p takesTcp it also
  /// takes connections. Error (step listen) when the address is taken.
  static absl::StatusOr<std::unique_ptr<FaultyLink>>
  create(const Address &at, const Address &to, bool acceptsTcp, uint64_t seed);
  ~FaultyLink();
  FaultyLink(const FaultyLink &) = delete;
  FaultyLink &operator=(const FaultyLink &) = delete;

  /// Harms what comes from now on.
  void setFaults(const LinkFaults &faults);
  /// Drops everything, and refuses connections, or no longer.
  void setSilent(bool silent) { Silent = silent; }
  /// Drops what comes from \p ip, or no longer.
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
  std::mutex Lock; ///< Guards what follows.
  LinkFaults Faults;
  std::set<uint32_t> BlockedSources;
  SeededRandom Random; ///< The thread's own, as all that follows.
  std::priority_queue<DelayedDatagram, std::vector<DelayedDatagram>,
                      std::greater<DelayedDatagram>>
      Delayed;
  std::unique_ptr<ListenSocket> Listener; ///< Null while it refuses.
  std::thread Loop;
};

} // namespace balsamrack::soak

#endif // BALSAMRACK_SOAK_FAULTYLINK_H
