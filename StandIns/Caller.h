#ifndef BALSAMRACK_STANDINS_CALLER_H
#define BALSAMRACK_STANDINS_CALLER_H

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "Balsamrack/Core/Random.h"
#include "Balsamrack/Core/Time.h"
#include "StandIns/LoadReport.h"

namespace balsamrack::standins {

/// A service and where its packets are sent.
struct CallTarget {
  std::string Service;   ///< Name of the service.
  Address FabricAddress; ///< Address of the service at the fabric.
};

/// Behaviour of callers.
struct CallSettings {
  std::vector<CallTarget>
      Targets;           ///< At least one; each flow picks one at random.
  uint64_t Seed = 1;     ///< Seed of all random choices.
  uint32_t Callers = 16; ///< Number of concurrent flows.
  uint32_t PacketsPerFlow = 20;  ///< Requests per flow.
  Duration MaxThinkTime{20'000}; ///< Maximum pause between two requests.
  Duration Timeout{5'000'000};   ///< Sent as remaining time.
  bool ReturnsToken = true;      ///< Whether to return the flow token.
  uint32_t LongRunPercent = 5;   ///< Percentage of requests with a long run.
};

/// State shared by all callers of a load run.
struct SharedLoadState {
  std::mutex Lock;   ///< Guards Report.
  LoadReport Report; ///< Results of all callers.
  std::atomic<bool> Stop{
      false}; ///< If set, callers end after the current attempt.
};

/// A caller: opens one flow after the other and sends its requests. Not
/// thread-safe.
class Caller {
public:
  /// Precondition: \p settings and \p shared outlive it.
  Caller(const CallSettings &settings, SharedLoadState &shared,
         uint32_t number);
  /// Opens flows until SharedLoadState::Stop is set.
  void run();

private:
  /// State of the current flow.
  struct Flow {
    const CallTarget *Target = nullptr; ///< Service of the flow.
    std::string CallerAddress;          ///< IP:PORT of the caller.
    std::string Token;                  ///< From the last answer.
    std::string Server;      ///< Server that answered first; empty before.
    std::string Domain;      ///< Failure domain of that server.
    uint32_t NextPacket = 1; ///< Number of the next packet.
    bool Ended = false;      ///< Given up, broken, or not established.
  };
  /// Result of an attempt.
  struct Attempt {
    OutcomeKind Outcome = OutcomeKind::NotRun; ///< Outcome of the attempt.
    std::string Reason;                        ///< Name of its reason.
    Duration RetryAfter{
        0};          ///< Time before the next attempt; zero if not given.
    Answer Response; ///< The answer that was received.
  };

  void openFlow(const CallTarget &target);
  void runFlow();
  /// Sends one operation and retries it while it was not run.
  void runOperation();
  Message makeAttempt(const Operation &op, uint32_t attempt,
                      const Message &operationMessage);
  Message makeOperation(Operation &op);
  Attempt sendAttempt(const Message &message);
  void checkAnswer(const Operation &op, const Message &sent,
                   const Attempt &attempt);
  void recordBrokenFlow(const std::string &reason);
  void recordAttempt(const Operation &op, const Message &sent,
                     const Attempt &attempt, Duration took);
  bool shouldRetry(const Operation &op, const Attempt &attempt);
  void sleepRandomly(Duration maxTime);

  const CallSettings &Settings; ///< Behaviour of this caller.
  SharedLoadState &Shared;      ///< Shared with the other callers.
  const uint32_t Number;        ///< Index of this caller.
  SeededRandom Random;          ///< Random choices of this caller.
  uint32_t FlowCount = 0;       ///< Number of flows opened.
  uint32_t OperationCount = 0;  ///< Number of operations started.
  Flow CurrentFlow;             ///< The current flow.
};

} // namespace balsamrack::standins

#endif // BALSAMRACK_STANDINS_CALLER_H
