#ifndef BALSAMRACK_STANDINS_PLATFORM_H
#define BALSAMRACK_STANDINS_PLATFORM_H

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Balsamrack/Core/Time.h"
#include "StandIns/HttpServer.h"

namespace balsamrack::standins {

/// The stand-in platform: stores tickets and the VM list, answers reads and
/// long polls, and simulates failures on request. Thread-safe.
class Platform {
public:
  /// Has no tickets and an empty VM list.
  Platform() = default;

  /// Answers requests of the system: reads and watches only. Each is counted.
  Answer serveReader(const Message &message);
  /// Answers requests of operators: POST /tickets, /vms, /mode; GET /counts.
  Answer serveOperator(const Message &message);
  /// Adds a ticket given as JSON text. Error if it is malformed, too large, or
  /// not numbered higher than all tickets before.
  absl::Status addTicket(const std::string &text);
  /// Replaces the VM list by a JSON array. Error if it is malformed or too
  /// large.
  absl::Status setVms(const std::string &text);
  /// True while the mode is down.
  bool isDown() const;

private:
  /// Simulated failure mode.
  enum class Mode { Up, Down, Stale, Lag };
  /// A ticket and when it was added.
  struct StoredTicket {
    std::string Text;                 ///< As JSON.
    TimePoint StoredAt;               ///< Time of its arrival.
    std::vector<std::string> Objects; ///< "kind/id" of each object in it.
  };
  /// A version of the VM list and when it was set.
  struct StoredVmList {
    std::string Text;   ///< As a JSON array.
    TimePoint StoredAt; ///< Time of its arrival.
  };
  /// Number of requests by kind.
  struct Counts {
    uint64_t Tickets = 0; ///< Reads and watches of tickets.
    uint64_t Vms = 0;     ///< Reads and watches of the VM list.
    uint64_t Others = 0;  ///< All other requests; they are refused.
  };

  Answer readTickets(const std::string &target);
  Answer readVms(const std::string &target);
  absl::Status setMode(const std::string &text);
  std::string countsJson() const;
  bool isVisible(uint64_t ticket, const StoredTicket &stored) const;
  uint64_t highestVisibleTicket() const;
  uint64_t visibleListVersion() const;
  std::string ticketPage(uint64_t after) const;
  std::set<uint64_t> visibleTicketNumbers() const;
  /// Waits until \p ready returns true, \p waitMs have passed or the mode is
  /// down.
  template <class Ready>
  void waitForChange(std::unique_lock<std::mutex> &lock, uint64_t waitMs,
                     Ready ready);

  mutable std::mutex Lock;                  ///< Guards all members below.
  std::condition_variable Changed;          ///< Notified at each change.
  std::map<uint64_t, StoredTicket> Tickets; ///< By number.
  std::map<uint64_t, StoredVmList> VmLists; ///< VM lists by version.
  uint64_t HighestTicket = 0;               ///< Highest ticket so far.
  Counts Calls;                             ///< Requests so far.
  Mode CurrentMode = Mode::Up;              ///< Current failure mode.
  Duration LagTime{0};                      ///< Delay in mode lag.
  uint64_t StaleTicket = 0;      ///< Last visible ticket in mode stale.
  uint64_t StaleListVersion = 0; ///< Last visible VM list in mode stale.
  SystemClock Time;              ///< For mode lag.
};

} // namespace balsamrack::standins

#endif // BALSAMRACK_STANDINS_PLATFORM_H
