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

/// How the platform looked at the last call.
enum class PlatformState {
  Unread, ///< No call has ended yet.
  Good,   ///< Answers, with all that we have seen from it before.
  Stale,  ///< Answers with older tickets than it did before.
  Down,   ///< Doesn't answer.
};

/// Name of a state in lower case. Thread-safe.
const char *platformStateName(PlatformState state);

/// Wait before the \p failures-th try in a row: doubled each time from the
/// least to the most, then a random part between half and all of it, so that a
/// fleet does not come back at one moment when an outage ends. Pure.
Duration backoffAfter(uint32_t failures, const PlatformSettings &settings,
                      RandomSource &random);

/// Reads and watches the platform on two threads, one a value.
class PlatformReader {
public:
  using TicketSink = std::function<void(const std::string &text)>;
  using VmSink = std::function<void(const std::vector<EntryVm> &)>;

  /// Starts to read. The sinks are called on the reader's threads.
  /// Precondition: all references outlive the result. Thread-safe.
  PlatformReader(const PlatformSettings &settings, PlatformLink &link,
                 Telemetry &telemetry, uint64_t seed, TicketSink onTicket,
                 VmSink onVms);
  ~PlatformReader();

  /// Ends both threads. Idempotent; not to be called by a sink. Thread-safe.
  void stop();
  /// How the platform looked at the last read of tickets. Thread-safe.
  PlatformState state() const;
  /// Highest ticket that the platform has shown. Thread-safe.
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
  mutable std::mutex Lock; ///< Guards all below but the threads.
  std::condition_variable Stopped;
  bool Stopping = false;
  PlatformState State = PlatformState::Unread;
  TicketNumber Highest;
  std::thread TicketThread;
  std::thread VmThread;
};

} // namespace balsamrack

#endif // BALSAMRACK_DAEMON_PLATFORMREADER_H
