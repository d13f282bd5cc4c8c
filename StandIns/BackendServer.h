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

/// What a backend server stand-in is, and what it can bear.
struct BackendServerSettings {
  std::string Id;                ///< Its id in tickets.
  std::string Service;           ///< The service that it serves.
  std::string Domain;            ///< Its failure domain, told in answers.
  uint32_t Slots = 2;            ///< Runs at the same time; more are shed.
  uint32_t MaxFlows = 2000;      ///< Flows that it holds; more are shed.
  Duration WarmupTime{0};        ///< Time from start until it is warm.
  uint32_t MaxRunsWhileCold = 1; ///< Runs at the same time that it bears cold.
  Duration OverloadTime{1'000'000}; ///< How long it fails once it got more.
  Duration RunTime{10'000};         ///< Time of a run.
  Duration LongRunTime{200'000};    ///< Time of a run with ?long=1.
};

/// The stand-in backend server: runs requests in slots, is cold after its
/// start, falls over when it gets more than it bears, sheds, obeys deadlines
/// and cancellations, and counts runs by attempt. Thread-safe throughout.
class BackendServer {
public:
  explicit BackendServer(BackendServerSettings settings);

  /// Answers any message; paths below /balsamrack/ are not work.
  Answer serve(const Message &message);

private:
  /// How a run ended.
  enum class RunOutcome { Completed, Cancelled, DeadlineExceeded, Overloaded };
  /// Flags that a control call sets.
  struct InjectedFaults {
    bool Shed = false;       ///< Refuse all work as not run.
    bool Freeze = false;     ///< Answer nothing.
    bool FakeHealth = false; ///< Health says ready and idle, whatever is true.
    Duration ExtraTime{0};   ///< Added to each run.
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
  /// Waits for the run's work. Precondition: \p lock is held.
  RunOutcome simulateRun(std::unique_lock<std::mutex> &lock,
                         const Message &message);
  Duration runDuration(const std::string &target) const;
  bool isCold() const { return Time.now() < ColdUntil; }
  bool isOverloaded() const { return Time.now() < OverloadedUntil; }

  SystemClock Time;                     ///< For warmth and falling over.
  const BackendServerSettings Settings; ///< Fixed at start.
  const std::string Instance;           ///< Names this run of the process.
  std::mutex Lock;                      ///< Guards all that follows.
  std::condition_variable Changed;      ///< Cancel, fall, unfreeze.
  RunCounts Counts;                     ///< What it has seen.
  InjectedFaults Faults;                ///< As the last control call asked.
  std::multiset<std::string> CancelledRequests; ///< Requests nobody waits for.
  TimePoint ColdUntil;                          ///< Warm after this.
  TimePoint OverloadedUntil; ///< Fails everything before this.
  TimePoint LastPacketAt;    ///< When work last came in.
};

} // namespace balsamrack::standins

#endif // BALSAMRACK_STANDINS_BACKENDSERVER_H
