#ifndef BALSAMRACK_FLOWS_ENTRYSETTINGS_H
#define BALSAMRACK_FLOWS_ENTRYSETTINGS_H

#include <cstdint>
#include <string>

#include "Balsamrack/Core/Time.h"
#include "absl/status/status.h"

namespace balsamrack {

/// What an entry does with a key when a guardian can't be reached.
enum class UnreachableReplicaPolicy {
  Refuse,           ///< Say that the outcome is unknown (at most once holds).
  RunWithReachable, ///< Run on the word of those reached; during a cut the same
                    ///< key may run once on each side.
};

/// Settings of the entry. The defaults fit the brief's sizes: 1 ms between
/// failure domains, requests of tens of milliseconds.
struct EntrySettings {
  std::string TokenKey; ///< Shared by the fleet; empty: tokens are off.
  bool UseRank = true;  ///< Off (measurement only): candidates are drawn afresh
                        ///< for each packet.
  bool UseQuestion = true; ///< Off (measurement only): a flow that the first
                           ///< candidate doesn't know is accepted there.
  uint32_t MaxTries = 4;   ///< Owners offered a packet that did not run. With
                           ///< 14 servers, four full ones mean a full service.
  uint32_t QuestionCandidates =
      5; ///< Further candidates asked about a flow: the three that MaxTries
         ///< reaches, and two for servers that another daemon's older or newer
         ///< ticket passes over.
  Duration QuestionTimeout{
      100'000}; ///< A peer answers in 2 ms; beyond 100 ms it is paused or gone.
  Duration ClaimTimeout{
      250'000}; ///< As above; longer, as giving up refuses a RunOnce request.
  Duration ClaimRepeat{
      50'000}; ///< Between claims while a guardian hands over what it knows: a
               ///< hand-over takes some milliseconds, updates of who has left
               ///< up to a probe's period. Ends with ClaimTimeout.
  uint32_t KeyReplicaCount = 2; ///< Guardians of a key: survives one death.
  Duration KeyMemory{
      600'000'000}; ///< Guardians remember keys for so long; requests with a
                    ///< key get at most half of it to run.
  bool AssumeNoEarlierKeys =
      false; ///< First installation: no key can have run before.
  UnreachableReplicaPolicy OnUnreachableReplica =
      UnreachableReplicaPolicy::Refuse; ///< A guardian can't be reached.
  double RetryRatio =
      0.2; ///< Retries let through per packet, so that a service that refuses
           ///< everything sees at most a fifth more packets.
  double RetryBurst = 20;       ///< Retries that may be saved up.
  Duration RetryAfter{500'000}; ///< Told to callers when the obstacle is ours;
                                ///< up to half as much again is added.
  Duration Linger{30'000'000};  ///< How long a late outcome may still settle a
                                ///< key of an ended request.
  bool Explain = true;          ///< Emit decisions.

  /// kInvalidArgument (step read-settings) when out of range. Thread-safe.
  absl::Status check() const;
};

} // namespace balsamrack

#endif // BALSAMRACK_FLOWS_ENTRYSETTINGS_H
