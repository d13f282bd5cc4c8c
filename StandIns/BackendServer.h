#ifndef BALSAMRACK_STANDINS_BACKENDSERVER_H
#define BALSAMRACK_STANDINS_BACKENDSERVER_H

#include <condition_variable>
#include <mutex>
#include <set>
#include <string>

#include "Balsamrack/Core/Time.h"
#include "StandIns/HttpServer.h"
#include "StandIns/RunCounts.h"

namespace balsamrack::standins {

/// Identity and capacity of a stand-in backend server.
struct BackendServerSettings {
  std::string Id;           ///< Id in tickets.
  std::string Service;      ///< Service that it belongs to.
  std::string Domain;       ///< Failure domain, reported in answers.
  uint32_t Slots = 2;       ///< Maximum concurrent runs; more are shed.
  uint32_t MaxFlows = 2000; ///< Maximum number of flows; more are shed.
  Duration WarmupTime{0};   ///< Time from the start until it is warm.
  uint32_t MaxRunsWhileCold =
      1; ///< Maximum concurrent runs while cold; more overload it.
  Duration OverloadTime{
      1'000'000};                ///< Time for which it fails after an overload.
  Duration RunTime{10'000};      ///< Duration of a run.
  Duration LongRunTime{200'000}; ///< Duration of a run with ?long=1.
};

/// The stand-in backend server: runs requests in slots, is cold after its
/// start, fails for a while when it is overloaded while cold, sheds load, obeys
/// deadlines and cancellations, and counts runs by attempt. Thread-safe.
class BackendServer {
public:
  /// Starts cold for the warm-up time in \p settings.
  explicit BackendServer(BackendServerSettings settings);

  /// Answers \p message. Requests to paths below /balsamrack/ are not runs.
  Answer serve(const Message &message);

private:
  /// Outcome of a run.
  enum class RunOutcome { Completed, Cancelled, DeadlineExceeded, Overloaded };
  /// Faults that a control request sets.
  struct InjectedFaults {
    bool Shed = false;       ///< Refuse all requests as not run.
    bool Freeze = false;     ///< Answer no request.
    bool FakeHealth = false; ///< Always report ready and idle as health.
    Duration ExtraTime{0};   ///< Added to the duration of each run.
  };

  Answer handleWork(const Message &message);
  Answer shed();
  Answer handleControl(const std::string &text);
  Answer handleCancel(const Message &message);
  Answer handleHealth();
  Answer handleCounts();
  Answer makeRunAnswer(const Message &message, uint64_t runs, bool unknownFlow);
  void countPacket(const Message &message);
  bool recordFlow(const Message &message);
  bool isFull(const std::string &flow) const;
  /// Waits until the run ends. Precondition: \p lock is held.
  RunOutcome simulateRun(std::unique_lock<std::mutex> &lock,
                         const Message &message);
  Duration runDuration(const std::string &target) const;
  bool isCold() const { return Time.now() < ColdUntil; }
  bool isOverloaded() const { return Time.now() < OverloadedUntil; }

  SystemClock Time;                     ///< For warm-up and overload.
  const BackendServerSettings Settings; ///< Fixed at construction.
  const std::string Instance;           ///< Identifies this run of the process.
  std::mutex Lock;                      ///< Guards all members below.
  std::condition_variable
      Changed;           ///< Notified at cancellation, overload and control.
  RunCounts Counts;      ///< Counts since the start.
  InjectedFaults Faults; ///< As set by the last control request.
  std::multiset<std::string>
      CancelledRequests;     ///< Requests that were cancelled.
  TimePoint ColdUntil;       ///< Cold before this time.
  TimePoint OverloadedUntil; ///< Fails all requests before this time.
  TimePoint LastPacketAt;    ///< Time of the last request for a run.
};

} // namespace balsamrack::standins

#endif // BALSAMRACK_STANDINS_BACKENDSERVER_H
