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

/// Model of a backend server with slots and a cold start. Work continues after
/// its caller has left.
struct ModelServer {
  uint32_t Slots = 2;              ///< Concurrent requests.
  uint32_t ColdCapacity = 1;       ///< Concurrent requests while cold; one more
                                   ///< crashes it.
  uint32_t ColdRequests = 40;      ///< Requests until it is warm.
  uint32_t ColdRequestsLeft = 0;   ///< Requests left; zero if warm.
  double ColdSlowdownFactor = 3.0; ///< Factor on work times while cold.
  double SlowdownFactor = 1.0;     ///< Factor on all work times.
  bool AlwaysFails = false;        ///< Fails every request at once.
  DomainId Domain{"bern-a"};       ///< Failure domain.
  uint32_t InProgress = 0;         ///< Requests in progress.
  uint32_t Incarnation = 1;        ///< Incremented by each restart.
  uint32_t OverloadCrashes = 0;    ///< Crashes caused by overload.
  uint32_t PeakInProgressCold = 0; ///< Maximum of InProgress while cold.
  TimePoint DownUntil;             ///< End of the current restart.
  TimePoint LastRequestTime;       ///< Arrival of the last request.
};

/// Requests of one kind with random arrival times (a Poisson process).
struct ModelTraffic {
  uint64_t FirstCaller = 1; ///< Id of the first caller.
  uint32_t CallerCount = 1; ///< Callers with consecutive ids and equal load.
  double RequestsPerSecond = 1; ///< Rate of all callers together.
  Duration MeanWork{50'000};    ///< Mean work of a request.
  bool ExponentialWork = true;  ///< Exponential work times, else constant.
  Duration Deadline{1'000'000}; ///< Remaining time at arrival.
  Semantics Kind = Semantics::Idempotent; ///< Whether it may run twice.
  bool RetriesAfterRefusal =
      false;               ///< A refused caller retries after RetryAfter.
  bool OpensFlow = true;   ///< Each request opens a flow; otherwise it belongs
                           ///< to an established flow of its caller.
  Duration From{0};        ///< Begin of the traffic.
  Duration To{10'000'000}; ///< End of the traffic.
  int Label = 0;           ///< Copied to the results.
};

/// Result of a request, as its caller sees it.
struct ModelResult {
  int Label = 0;                          ///< Label of the traffic.
  CallerId Caller;                        ///< Its caller.
  TimePoint Arrived;                      ///< Time of the first arrival.
  TimePoint Ended;                        ///< Time of the outcome.
  Duration Work{0};                       ///< Work time.
  OutcomeKind How = OutcomeKind::NotRun;  ///< Outcome told to the caller.
  Reason Why = Reason::None;              ///< Reason of the outcome.
  Duration RetryAfter{0};                 ///< Retry delay.
  uint32_t OutcomeCount = 0;              ///< Number of outcomes; must be one.
  uint32_t Dispatches = 0;                ///< Times that it reached a server.
  uint32_t Runs = 0;                      ///< Finished runs.
  bool OpensFlow = false;                 ///< Whether it opened a flow.
  Semantics Kind = Semantics::Idempotent; ///< Whether it may run twice.
};

/// Simulates an owner, its backend servers and their callers in virtual time,
/// without network or threads. Equal seeds give equal runs. Not thread-safe.
class LoadModel {
public:
  LoadModel(const OwnerSettings &settings, const Service &config,
            std::vector<ModelServer> servers, uint64_t seed);

  /// Adds traffic. Precondition: run() was not called.
  void addTraffic(const ModelTraffic &traffic);
  /// Calls \p action at time \p when after the start.
  void scheduleAt(Duration when, std::function<void()> action);
  /// Runs until all requests have an outcome.
  void run();
  /// Passes an event to the owner and performs the resulting actions.
  void handleEvent(const OwnerEvent &event);
  /// Sends the owner its servers, with the domains of \p outOfService out of
  /// service and the servers of \p draining draining.
  void configureServers(const std::set<DomainId> &outOfService,
                        const std::set<size_t> &draining = {});
  /// Kills a server; it is available again, cold, after \p pause.
  void restartServer(size_t server, Duration pause);

  /// Returns the results of all requests, in the order in which they were
  /// added.
  std::vector<ModelResult> results() const;
  /// Returns server number \p n.
  ModelServer &server(size_t n) { return Servers[n]; }
  /// Returns the virtual time.
  TimePoint now() const { return Now; }
  /// Returns the owner's report on its servers.
  std::vector<ServerReport> report() const { return Owner->report(Now); }
  /// Returns the maximum of concurrent dispatches beyond a server's slots; must
  /// be zero.
  uint32_t maxOverSlots() const { return MaxOverSlots; }

  /// Start of the virtual time. Time zero means "never" and can't be used.
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
      OpenDispatches; // Server and start time by request.
  std::set<DomainId> OutOfServiceDomains;
  std::set<size_t> Draining;
  TimePoint Now{Start};
  TimePoint ScheduledWakeup;
  uint64_t NextOrder = 0;
  uint64_t NextRequest = 1;
  uint64_t TicketCount = 0;
  uint32_t MaxOverSlots = 0;
};

/// Returns the fraction of the time of all \p slots that was used for answers
/// within the deadline, including a round trip for each answer. At most 1.
double goodput(const std::vector<ModelResult> &results, uint32_t slots,
               Duration time);
/// Returns the \p quantile of the latencies of \p label. Requests that were not
/// answered count with \p refusedLatency.
Duration latency(const std::vector<ModelResult> &results, int label,
                 double quantile, Duration refusedLatency);
/// Returns the fraction of the requests of \p label that were answered in time.
double answeredFraction(const std::vector<ModelResult> &results, int label);
/// Counts requests with a false outcome, without exactly one outcome, or with a
/// second run despite Semantics::RunOnce.
uint32_t countFalseOutcomes(const std::vector<ModelResult> &results);
/// Returns Jain's index (Jain, Chiu, Hawe 1984) of the answered work of each
/// caller relative to its max-min fair share.
double jainFairness(const std::vector<ModelResult> &results);

} // namespace balsamrack

#endif // BALSAMRACK_PERFORMANCETEST_LOADMODEL_H
