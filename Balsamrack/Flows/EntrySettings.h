#ifndef BALSAMRACK_FLOWS_ENTRYSETTINGS_H
#define BALSAMRACK_FLOWS_ENTRYSETTINGS_H

#include <cstdint>
#include <string>

#include "Balsamrack/Core/Time.h"
#include "absl/status/status.h"

namespace balsamrack {

/// What an entry does with a key if one of its replicas is unreachable.
enum class UnreachableReplicaPolicy {
  Refuse,           ///< Report an unknown outcome, which preserves at-most-once
                    ///< execution.
  RunWithReachable, ///< Run if the reachable replicas grant it. During a
                    ///< network partition the same key may run once on each
                    ///< side.
};

/// Settings of the entry. The defaults assume 1 ms between failure domains and
/// requests of tens of milliseconds.
struct EntrySettings {
  std::string TokenKey; ///< Shared by the fleet; tokens are disabled if it is
                        ///< empty.
  bool UseRank = true;  ///< False in measurements only: candidates are then
                        ///< drawn anew for each packet.
  bool UseQuestion = true; ///< False in measurements only: a flow that the
                           ///< first candidate does not know is then accepted
                           ///< there.
  uint32_t MaxTries = 4;   ///< Owners that a packet is offered to until one
                           ///< runs it. With 14 servers, four full ones
                           ///< indicate a full service.
  uint32_t QuestionCandidates =
      5; ///< Candidates after the first that are asked about a flow: the three
         ///< that MaxTries reaches, and two for servers that another daemon
         ///< skips under its older or newer ticket.
  Duration QuestionTimeout{100'000}; ///< A peer replies in 2 ms; one that takes
                                     ///< more than 100 ms is paused or gone.
  Duration ClaimTimeout{250'000};    ///< As above, but longer, since a timeout
                                     ///< refuses a RunOnce request.
  Duration ClaimRepeat{
      50'000}; ///< Period of resending claims while a replica hands over its
               ///< keys: a hand-over takes some milliseconds, and updates of
               ///< the membership take up to a probe period. Resending ends
               ///< after ClaimTimeout.
  Duration EndingWait{
      2'000'000}; ///< How long claims are repeated while another attempt is in
                  ///< progress, but at most half of the caller's time. Its
                  ///< ending may be on its way: a starved replica handled one
                  ///< more than 0.5 s after its caller was told. 0 refuses at
                  ///< once.
  uint32_t KeyReplicaCount = 2; ///< Replicas of a key; two survive the death of
                                ///< one.
  Duration KeyMemory{
      600'000'000}; ///< How long replicas store keys. Requests with a key get
                    ///< at most half of it to run.
  bool AssumeNoEarlierKeys = false; ///< True on a first installation, where no
                                    ///< key can have run before.
  UnreachableReplicaPolicy OnUnreachableReplica =
      UnreachableReplicaPolicy::Refuse; ///< Policy while a replica of a key is
                                        ///< unreachable.
  double RetryRatio =
      0.2; ///< Retries allowed per packet, so that a service that refuses
           ///< everything receives at most a fifth more packets.
  double RetryBurst = 20;       ///< Upper bound of unused retries.
  Duration RetryAfter{500'000}; ///< Retry-after time for refusals by the
                                ///< balancer itself; up to half of it is added
                                ///< as jitter.
  Duration Linger{30'000'000};  ///< How long a late outcome may still settle
                                ///< the key of an ended request.
  bool Explain = true;          ///< Emit decisions.

  /// Error kInvalidArgument (step read-settings) if a setting is out of range.
  /// Thread-safe.
  absl::Status check() const;
};

} // namespace balsamrack

#endif // BALSAMRACK_FLOWS_ENTRYSETTINGS_H
