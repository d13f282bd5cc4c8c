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

/// The stand-in platform: keeps tickets and the VM list, answers reads and long
/// polls, and fails as it is told to. Thread-safe throughout.
class Platform {
public:
  /// Starts with no tickets and an empty VM list.
  Platform() = default;

  /// Answers the system's side: reads and watches only, each counted.
  Answer serveReader(const Message &message);
  /// Answers the operators' side: POST /tickets, /vms, /mode; GET /counts.
  Answer serveOperator(const Message &message);
  /// Takes one ticket as JSON text. Error when it is none, is too large, or is
  /// not numbered higher than all before.
  absl::Status addTicket(const std::string &text);
  /// Takes the whole VM list as a JSON array. Error when it is none.
  absl::Status setVms(const std::string &text);
  /// True while the platform is told to be down.
  bool isDown() const;

private:
  /// How the platform fails.
  enum class Mode { Up, Down, Stale, Lag };
  /// A ticket, and when it came.
  struct StoredTicket {
    std::string Text;                 ///< As JSON.
    TimePoint StoredAt;               ///< When it was taken.
    std::vector<std::string> Objects; ///< "kind/id" of each object it touches.
  };
  /// A version of the VM list, and when it came.
  struct StoredVmList {
    std::string Text;   ///< As a JSON array.
    TimePoint StoredAt; ///< When it was taken.
  };
  /// Calls so far, by what was asked for.
  struct Counts {
    uint64_t Tickets = 0; ///< Reads and watches of tickets.
    uint64_t Vms = 0;     ///< Reads and watches of the VM list.
    uint64_t Others = 0;  ///< Anything else, refused.
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
  /// Waits until \p ready or \p waitMs have passed or the platform goes down.
  template <class Ready>
  void waitForChange(std::unique_lock<std::mutex> &lock, uint64_t waitMs,
                     Ready ready);

  mutable std::mutex Lock;                  ///< Guards all that follows.
  std::condition_variable Changed;          ///< Told at each change.
  std::map<uint64_t, StoredTicket> Tickets; ///< By number.
  std::map<uint64_t, StoredVmList> VmLists; ///< VM lists by version.
  uint64_t HighestTicket = 0;               ///< Highest ticket ever taken.
  Counts Calls;                             ///< Calls so far.
  Mode CurrentMode = Mode::Up;              ///< How it fails.
  Duration LagTime{0};                      ///< In mode lag.
  uint64_t StaleTicket = 0;                 ///< In mode stale: last ticket.
  uint64_t StaleListVersion = 0;            ///< In mode stale: last VM list.
  SystemClock Time;                         ///< For lag.
};

} // namespace balsamrack::standins

#endif // BALSAMRACK_STANDINS_PLATFORM_H
