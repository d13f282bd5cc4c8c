#ifndef BALSAMRACK_DAEMON_PLATFORMREADER_H
#define BALSAMRACK_DAEMON_PLATFORMREADER_H

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "Balsamrack/Core/Random.h"
#include "Balsamrack/Core/Time.h"
#include "Balsamrack/Daemon/Telemetry.h"
#include "Balsamrack/Platform/PlatformLink.h"
#include "Balsamrack/Settings/Settings.h"

namespace balsamrack {

/// State of the platform at the last read.
enum class PlatformState {
  Unread, ///< No read has completed yet.
  Good,   ///< Responds, with tickets at least as new as before.
  Stale,  ///< Responds with older tickets than before.
  Down,   ///< Doesn't respond.
};

/// Name of a state in lower case. Thread-safe.
const char *platformStateName(PlatformState state);

/// Returns the wait after \p failures failures in a row: doubled each time from
/// the minimum to the maximum backoff, times a random factor between 0.5 and 1,
/// so that the daemons of a fleet don't all retry at the same time when an
/// outage ends. Pure.
Duration backoffAfter(uint32_t failures, const PlatformSettings &settings,
                      RandomSource &random);

/// Reads and watches the platform's tickets and VM list, each on its own
/// thread.
class PlatformReader {
public:
  using TicketSink = std::function<void(const std::string &text)>;
  using VmSink = std::function<void(const std::vector<EntryVm> &)>;

  /// Starts both threads, which call the sinks. Precondition: all references
  /// outlive the result. Thread-safe.
  PlatformReader(const PlatformSettings &settings, PlatformLink &link,
                 Telemetry &telemetry, uint64_t seed, TicketSink onTicket,
                 VmSink onVms);
  ~PlatformReader();

  /// Stops both threads. Idempotent; must not be called by a sink. Thread-safe.
  void stop();
  /// State of the platform at the last read of tickets. Thread-safe.
  PlatformState state() const;
  /// Highest ticket that the platform has reported. Thread-safe.
  TicketNumber highestTicket() const;

private:
  void readTickets();
  void readVms();
  bool waitUnlessStopping(Duration wait);
  void updateState(const absl::StatusOr<TicketPage> &page);

  const PlatformSettings Settings;
  PlatformLink &Link;
  Telemetry &TelemetrySink;
  const uint64_t Seed;
  const TicketSink OnTicket;
  const VmSink OnVms;
  mutable std::mutex Lock; ///< Guards all members below except the threads.
  std::condition_variable Stopped;
  bool Stopping = false;
  PlatformState State = PlatformState::Unread;
  TicketNumber Highest;
  std::thread TicketThread;
  std::thread VmThread;
};

} // namespace balsamrack

#endif // BALSAMRACK_DAEMON_PLATFORMREADER_H
