#ifndef BALSAMRACK_PERFORMANCETEST_LOADMODEL_H
#define BALSAMRACK_PERFORMANCETEST_LOADMODEL_H

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <vector>

#include "Balsamrack/Core/Random.h"
#include "Balsamrack/Decisions/ServiceOwner.h"

namespace balsamrack {

/// A fake backend server: slots, a cold start, and work that goes on after the
/// caller has left.
struct ModelServer {
  uint32_t Slots = 2;            ///< What it works on at the same time.
  uint32_t ColdCapacity = 1;     ///< What it bears while cold; one more and it
                                 ///< falls over.
  uint32_t ColdRequests = 40;    ///< Answers until it is warm.
  uint32_t ColdRequestsLeft = 0; ///< Answers still to go; zero: warm.
  double ColdSlowdownFactor = 3.0; ///< Work takes so much longer while cold.
  double SlowdownFactor = 1.0;     ///< Work takes so much longer always.
  bool AlwaysFails = false;        ///< Ends everything as Failed at once.
  DomainId Domain{"bern-a"};       ///< Where it stands.
  uint32_t InProgress = 0;         ///< Requests that it works on.
  uint32_t Incarnation = 1;        ///< Counts its processes.
  uint32_t OverloadCrashes = 0;    ///< How often it fell over.
  uint32_t PeakInProgressCold = 0; ///< Most requests at once while cold.
  TimePoint DownUntil;             ///< Starts again then.
  TimePoint LastRequestTime;       ///< Last request that reached it.
};

/// Requests of one kind that come at random times (Poisson).
struct ModelTraffic {
  uint64_t FirstCaller = 1;     ///< First caller.
  uint32_t CallerCount = 1;     ///< Callers with following ids, equally busy.
  double RequestsPerSecond = 1; ///< Requests a second of all of them.
  Duration MeanWork{50'000};    ///< Mean work of a request.
  bool ExponentialWork = true;  ///< Exponential work times; false: all alike.
  Duration Deadline{1'000'000}; ///< Remaining time.
  Semantics Kind = Semantics::Idempotent; ///< May it run twice?
  bool RetriesAfterRefusal =
      false;               ///< A refused caller comes back when told to.
  bool OpensFlow = true;   ///< Each request opens a flow, else belongs to an
                           ///< established one of its caller.
  Duration From{0};        ///< Begin.
  Duration To{10'000'000}; ///< End.
  int Label = 0;           ///< To tell results apart.
};

/// How one request ended for its caller.
struct ModelResult {
  int Label = 0;                          ///< As in the traffic.
  CallerId Caller;                        ///< Who sent it.
  TimePoint Arrived;                      ///< First arrival.
  TimePoint Ended;                        ///< Its ending.
  Duration Work{0};                       ///< Work it asked for.
  OutcomeKind How = OutcomeKind::NotRun;  ///< What was told.
  Reason Why = Reason::None;              ///< And why.
  Duration RetryAfter{0};                 ///< When to come back.
  uint32_t OutcomeCount = 0;              ///< Must be one.
  uint32_t Dispatches = 0;                ///< Requests that reached a server.
  uint32_t Runs = 0;                      ///< Runs that a server finished.
  bool OpensFlow = false;                 ///< Opened a flow.
  Semantics Kind = Semantics::Idempotent; ///< May it run twice?
};

/// One owner, its fake servers and their callers in virtual time: no network,
/// no threads, the same run for the same seed. Not thread-safe.
class LoadModel {
public:
  LoadModel(const OwnerSettings &settings, const Service &config,
            std::vector<ModelServer> servers, uint64_t seed);

  /// Adds traffic. Precondition: run() was not called.
  void addTraffic(const ModelTraffic &traffic);
  /// Calls \p what at \p when after the start.
  void scheduleAt(Duration when, std::function<void()> action);
  /// Runs until all requests have ended.
  void run();
  /// Gives an event to the owner now, and does what it says.
  void handleEvent(const OwnerEvent &event);
  /// Tells the owner of its servers, with the domains of \p out out of service.
  void configureServers(const std::set<DomainId> &outOfService,
                        const std::set<size_t> &draining = {});
  /// Kills a server's process; it is back, cold, after \p pause.
  void restartServer(size_t server, Duration pause);

  /// All requests, in order of arrival.
  std::vector<ModelResult> results() const;
  /// A server by its number.
  ModelServer &server(size_t n) { return Servers[n]; }
  /// The time now.
  TimePoint now() const { return Now; }
  /// The owner's own state.
  std::vector<ServerReport> report() const { return Owner->report(Now); }
  /// Most dispatches beyond a server's slots ever seen; must be zero.
  uint32_t maxOverSlots() const { return MaxOverSlots; }

  /// When virtual time starts: not at zero, which means "never".
  static constexpr Duration Start{1'000'000};

private:
  struct Call {
    ModelResult Result;
    ModelTraffic Traffic;
    Envelope Head;
    TimePoint Deadline;
    uint32_t Attempts = 0;
  };
  struct ScheduledAction {
    TimePoint When;
    uint64_t Order;
    std::function<void()> Action;
    friend bool operator<(const ScheduledAction &a, const ScheduledAction &b) {
      return a.When != b.When ? a.When > b.When : a.Order > b.Order;
    }
  };

  void schedule(TimePoint when, std::function<void()> action);
  void handleArrival(uint64_t call);
  void sendRequest(uint64_t call);
  size_t chooseServer(const Call &call) const;
  void startDispatch(const StartDispatch &dispatch);
  void deliverRequest(uint64_t request, size_t n, TimePoint sent);
  void finishWork(uint64_t request, size_t n, TimePoint sent, uint32_t run);
  void crashFromOverload(size_t n);
  void finishDispatch(uint64_t request, DispatchOutcome how, size_t n,
                      TimePoint sent);
  void finishRequest(const Outcome &outcome);
  void scheduleWakeup();
  size_t indexOf(const ServerId &server) const;

  Service Config;
  std::vector<ModelServer> Servers;
  std::unique_ptr<ServiceOwner> Owner;
  SeededRandom Random;
  std::priority_queue<ScheduledAction> ScheduledActions;
  std::map<uint64_t, Call> Calls; // By request.
  std::map<uint64_t, std::pair<size_t, TimePoint>>
      OpenDispatches; // Dispatches.
  std::set<DomainId> OutOfServiceDomains;
  std::set<size_t> Draining;
  TimePoint Now{Start};
  TimePoint ScheduledWakeup;
  uint64_t NextOrder = 0;
  uint64_t NextRequest = 1;
  uint64_t TicketCount = 0;
  uint32_t MaxOverSlots = 0;
};

/// Slot time that led to an answer within its deadline, over the time of all \p
/// slots: 1 is what they can do at most, each answer taking a round trip.
double goodput(const std::vector<ModelResult> &results, uint32_t slots,
               Duration time);
/// The \p share quantile of the answer times of \p label, answered or refused;
/// refused ones count as having taken \p refused.
Duration latency(const std::vector<ModelResult> &results, int label,
                 double quantile, Duration refusedLatency);
/// Share of the requests of \p label that were answered in time.
double answeredFraction(const std::vector<ModelResult> &results, int label);
/// Endings that are not true, and RunOnce requests that ran twice.
uint32_t countFalseOutcomes(const std::vector<ModelResult> &results);
/// Jain's index (Jain, Chiu, Hawe 1984) of what callers got over their max-min
/// fair share of all answers.
double jainFairness(const std::vector<ModelResult> &results);

} // namespace balsamrack

#endif // BALSAMRACK_PERFORMANCETEST_LOADMODEL_H
