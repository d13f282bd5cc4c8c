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

/// Where a service's packets go.
struct CallTarget {
  std::string Service;   ///< Its name.
  Address FabricAddress; ///< The fabric's address of the service.
};

/// How callers behave.
struct CallSettings {
  std::vector<CallTarget> Targets; ///< At least one; a flow chooses by chance.
  uint64_t Seed = 1;               ///< Gives every choice.
  uint32_t Callers = 16;           ///< Flows open at the same time.
  uint32_t PacketsPerFlow = 20;    ///< Requests of one flow.
  Duration MaxThinkTime{20'000};   ///< Longest pause between two requests.
  Duration Timeout{5'000'000};     ///< Told as remaining time.
  bool ReturnsToken = true;        ///< Return the flow token.
  uint32_t LongRunPercent = 5;     ///< Requests with long work.
};

/// What all callers of one run share. Thread-safe by Lock.
struct SharedLoadState {
  std::mutex Lock;               ///< Guards Report.
  LoadReport Report;             ///< What they saw.
  std::atomic<bool> Stop{false}; ///< Set: end after the current attempt.
};

/// One caller: opens a flow, sends its requests, opens the next. Runs on one
/// thread.
class Caller {
public:
  /// Precondition: \p settings and \p board outlive it.
  Caller(const CallSettings &settings, SharedLoadState &shared,
         uint32_t number);
  /// Opens flows until the board says stop.
  void run();

private:
  /// The flow that is open.
  struct Flow {
    const CallTarget *Target = nullptr; ///< Its service.
    std::string CallerAddress;          ///< IP:PORT that it comes from.
    std::string Token;                  ///< As last answered.
    std::string Server;                 ///< That answered first; empty before.
    std::string Domain;                 ///< Of that server.
    uint32_t NextPacket = 1;            ///< Number of the next packet.
    bool Ended = false;                 ///< Given up, broken, or not opened.
  };
  /// What one attempt brought.
  struct Attempt {
    OutcomeKind Outcome = OutcomeKind::NotRun; ///< How it ended.
    std::string Reason;                        ///< Name of the reason.
    Duration RetryAfter{0};                    ///< When to come back.
    Answer Response;                           ///< The answer.
  };

  void openFlow(const CallTarget &target);
  void runFlow();
  /// Sends one operation, again while it was not run.
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

  const CallSettings &Settings; ///< How to behave.
  SharedLoadState &Shared;      ///< What callers share.
  const uint32_t Number;        ///< Of this caller.
  SeededRandom Random;          ///< Its choices.
  uint32_t FlowCount = 0;       ///< Flows opened.
  uint32_t OperationCount = 0;  ///< Operations begun.
  Flow CurrentFlow;             ///< The flow that is open.
};

} // namespace balsamrack::standins

#endif // BALSAMRACK_STANDINS_CALLER_H
