#ifndef BALSAMRACK_DECISIONS_OPENINGADMISSION_H
#define BALSAMRACK_DECISIONS_OPENINGADMISSION_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "Balsamrack/Core/Time.h"
#include "absl/container/flat_hash_map.h"

namespace balsamrack {

/// Thresholds of OpeningAdmission. Loads are requests that occupy or wait for
/// a slot, divided by this daemon's slots.
struct OpeningAdmissionSettings {
  /// Time constant of the load that decides whether room is short, and of the
  /// arrival rates: several requests long, so that random peaks of a small
  /// share do not count. With 300 ms, 3 points less of a burst of 300 ms are in
  /// time.
  Duration LoadSmoothing{200'000};
  /// A shortage begins at this load. With 1.25, five times as many openings are
  /// refused at 85% of the capacity, where random peaks of a share of two slots
  /// reach it.
  double ShortageLoad = 1.6;
  /// A shortage ends below this load, when no opening waits. Lasting overload
  /// keeps the load close to 1 + QueuePerSlot.
  double EnoughLoad = 1.1;
  /// Mean load of all failure domains below which there is no shortage.
  double CalmSiteLoad = 0.85;
  /// Admitted requests beyond the slots, per slot. They wait in the servers'
  /// queues for about one request time and keep slots busy while this daemon's
  /// share is a few slots only and other daemons' shares are used unevenly.
  /// With 0.5, 2 points less are in time at 95% of the capacity; with 1.5, 3
  /// points less during overload.
  double QueuePerSlot = 1;
  /// Further allowance for openings that are more urgent than others that
  /// arrive. Requests on open flows cannot be held and may use up the limit;
  /// servers queue four requests for each slot, so that this much is left for
  /// urgent ones. With 0.5, four times as many urgent requests fail when three
  /// fifths of a service's servers are lost.
  double UrgentQueuePerSlot = 1.5;
  /// Part of the time left until the objective that an opening may wait. A
  /// caller makes three attempts, and a later one does not say how much of the
  /// objective the earlier ones have used. With 1, 9 to 18 points less are in
  /// time during overload.
  double WaitPart = 1.0 / 3;
  /// Capacity of the queue.
  size_t MaxWaiting = 512;
};

/// State of a service as seen by this daemon.
struct AdmissionInputs {
  double Slots = 0;        ///< This daemon's slots at usable servers.
  uint32_t InProgress = 0; ///< This daemon's requests there, openings included.
  Duration RequestTime{0}; ///< Typical time of a request; zero if unknown.
  Duration Handshake{0};   ///< Typical time of a handshake; zero if unknown.
  std::optional<double> SiteLoad; ///< Mean load of all failure domains.
};

/// An opening that asks for admission.
struct OpeningRequest {
  uint64_t Id = 0;       ///< Assigned by the calling code, unique.
  uint32_t Caller = 0;   ///< Address of the caller.
  uint32_t Priority = 0; ///< Priority of the route; zero is the most urgent.
  TimePoint SentAt;      ///< When the caller sent the first copy.
  Duration Objective{0}; ///< Objective of the route; zero if none is set.
  Duration Timeout{0};   ///< Timeout of the route; zero if none is set.
  /// Latest time of a refusal; zero if it must not be refused at all.
  TimePoint RefusableUntil;
};

/// What happens to an opening.
enum class OpeningVerdict {
  Place,  ///< It is sent to a server.
  Wait,   ///< It waits here.
  Refuse, ///< Its caller gets a reset.
  Drop,   ///< It is discarded; its caller sends another copy.
};

/// Name of a verdict in lower case. Thread-safe.
const char *openingVerdictName(OpeningVerdict verdict);

/// A verdict on an opening and its inputs.
struct AdmissionForecast {
  OpeningVerdict Verdict = OpeningVerdict::Place; ///< The verdict.
  Duration ExpectedWait{0}; ///< Expected time until there is room.
  Duration MaxWait{0};      ///< Longest wait that is of use.
  size_t Ahead = 0;         ///< Openings that go first.
};

/// Decides whether the openings of one service are placed, wait or are refused.
///
/// Addresses overload: more work than the usable servers can do, for example
/// when half of them are lost and callers repeat their requests. Without it,
/// all requests wait in the servers' queues, urgent ones like others, until
/// most answers are late; full servers fail requests, and their callers add
/// further attempts.
///
/// During a shortage this daemon's requests in progress are limited to its
/// slots, corrected for the time in which a request is counted but not
/// processed (see slotUse()), plus an allowance for the servers' queues.
/// Openings beyond that wait here in the order: in time before late; priority;
/// callers in turn; least time left. One whose expected wait is too long is
/// refused at once, which leaves its caller time for another attempt.
///
/// Callers take turns by virtual arrival times (start-time fair queueing:
/// Goyal, Vin, Cheng 1996): an opening counts as having arrived at least
/// CallerInterval after the previous one of its caller. The lead is bounded, so
/// that a caller who was alone is not set back for long, and is not
/// starved. Not thread-safe.
class OpeningAdmission {
public:
  /// Callers retransmit an opening after 200 ms, and the copy may reach another
  /// daemon, which places it. Until 20 ms before that an opening that was not
  /// forwarded can be refused.
  static constexpr Duration RefusalPeriod{180'000};
  /// Distance of the virtual arrivals of one caller's openings. Half of the
  /// refusal period, since most waits are shorter: a caller's second
  /// simultaneous opening goes after almost all others that wait. With 18 ms, 7
  /// points less of the others' requests are in time beside a caller with 40%
  /// of all requests.
  static constexpr Duration CallerInterval{90'000};

  explicit OpeningAdmission(const OpeningAdmissionSettings &settings = {})
      : Settings(settings) {}

  /// Updates the load and the shortage from the current state.
  void update(TimePoint now, const AdmissionInputs &inputs);
  /// Decides about a new opening; after OpeningVerdict::Wait, takeNext()
  /// returns it later. Precondition: update() was called at \p now, and for a
  /// placed opening is called again before the next decision.
  OpeningVerdict decide(TimePoint now, const OpeningRequest &opening);
  /// The verdict that decide() would return; changes nothing. Precondition:
  /// update() was called.
  AdmissionForecast forecast(TimePoint now,
                             const OpeningRequest &opening) const;
  /// The forecast for a waiting opening; nothing if it does not wait.
  std::optional<AdmissionForecast> forecastWaiting(TimePoint now,
                                                   uint64_t id) const;

  /// A waiting opening whose wait has ended.
  struct Ended {
    uint64_t Id = 0;                                ///< As in OpeningRequest.
    OpeningVerdict Verdict = OpeningVerdict::Place; ///< Never Wait.
  };
  /// Removes and returns the next opening whose wait has ended; nothing if all
  /// go on waiting. Preconditions as for decide().
  std::optional<Ended> takeNext(TimePoint now);
  /// Removes and returns all waiting openings in their order.
  std::vector<uint64_t> removeAll();
  /// Removes a waiting opening.
  void remove(uint64_t id);
  /// Marks a waiting opening as no longer refusable.
  void setNotRefusable(uint64_t id);
  /// Counts a request on an open flow, which cannot be held.
  void recordFlowRequest(TimePoint now) { FlowRequests.add(now, Settings); }
  /// When takeNext() is due unless a request ends earlier; nothing if no
  /// opening waits.
  std::optional<TimePoint> nextWakeup() const;

  /// True while room is short.
  bool isShort() const { return Short; }
  /// Smoothed load.
  double load() const { return Load; }
  /// Limit of the requests in progress during a shortage.
  double limit() const;
  /// Number of waiting openings.
  size_t waiting() const { return Queue.size(); }

private:
  /// A waiting opening.
  struct Entry {
    OpeningRequest Opening;
    bool Late = false;   ///< Its objective cannot be met.
    TimePoint VirtualAt; ///< Virtual arrival; orders the callers.
    TimePoint LeastLeft; ///< Orders the openings of one caller.
    TimePoint Deadline;  ///< End of its wait.
  };
  /// Events a second, smoothed.
  struct Rate {
    double Events = 0; ///< Weighted by exp(-age / LoadSmoothing).
    TimePoint At;      ///< Time of Events.
    void add(TimePoint now, const OpeningAdmissionSettings &settings);
    double perSecond(TimePoint now,
                     const OpeningAdmissionSettings &settings) const;
  };

  static bool goesBefore(const Entry &a, const Entry &b);
  Duration answerTime(Duration objective) const;
  Entry makeEntry(TimePoint now, const OpeningRequest &opening) const;
  void setLateness(TimePoint now, Entry &entry) const;
  bool isUrgent(TimePoint now, const Entry &entry) const;
  double limitFor(TimePoint now, const Entry &entry) const;
  bool hasRoom(TimePoint now, const Entry &entry) const;
  Duration expectedWait(TimePoint now, const Entry &entry, size_t ahead) const;
  OpeningVerdict verdictFor(TimePoint now, const Entry &entry, size_t ahead,
                            Duration wait) const;
  void recordPlaced(TimePoint now, const Entry &entry);
  void chargeCaller(TimePoint now, const Entry &entry);
  void insert(Entry entry);
  std::optional<Ended> review(TimePoint now);
  Ended removeAt(TimePoint now, size_t index, OpeningVerdict verdict);

  const OpeningAdmissionSettings Settings;
  AdmissionInputs Inputs;     ///< As of the last update().
  TimePoint UpdatedAt;        ///< Time of the last update().
  double Load = 0;            ///< Smoothed.
  bool Short = false;         ///< See isShort().
  std::vector<Entry> Queue;   ///< In order of precedence.
  std::vector<Ended> Evicted; ///< Removed from the full queue.
  TimePoint PartFreeAt;       ///< When the fractional part of limit() is free.
  TimePoint ReviewedAt;       ///< Time of the last review().
  Rate FlowRequests;          ///< Requests on open flows.
  std::vector<std::pair<uint32_t, Rate>> Arrivals; ///< Openings, by priority.
  /// Virtual arrival of each caller's next opening, if it is in the future.
  absl::flat_hash_map<uint32_t, TimePoint> NextVirtual;
  TimePoint PrunedAt; ///< When past entries of NextVirtual were removed.
};

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_OPENINGADMISSION_H
