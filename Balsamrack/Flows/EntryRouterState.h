#ifndef BALSAMRACK_FLOWS_ENTRYROUTERSTATE_H
#define BALSAMRACK_FLOWS_ENTRYROUTERSTATE_H

#include <map>
#include <set>
#include <utility>

#include "Balsamrack/Core/Random.h"
#include "Balsamrack/Flows/EntryPacket.h"
#include "Balsamrack/Flows/EntryRouter.h"
#include "Balsamrack/Flows/FlowToken.h"
#include "Balsamrack/Flows/PlacementRetryBudget.h"

namespace balsamrack {

/// State of an EntryRouter and the steps of its event handlers. Methods that
/// may end a packet are marked as such; the packet is erased then, and
/// references to it become invalid. Not thread-safe.
struct EntryRouter::State {
  State(const EntrySettings &settings, uint64_t seed)
      : Settings(settings), Random(seed), Codec(settings.TokenKey) {}

  const EntrySettings Settings;
  SeededRandom Random; ///< Source of the jitter of RetryAfter.
  FlowTokenCodec Codec;
  std::shared_ptr<const RoutingView> View; ///< Null until the first
                                           ///< ViewChanged.
  std::map<RequestId, EntryPacket> Packets;
  std::set<std::pair<TimePoint, RequestId>> Timers; ///< One per packet.
  std::map<ServiceId, PlacementRetryBudget> Budgets;
  /// An ending that a replica of its key has not received.
  struct UnsentEnding {
    KeySettled Settled;  ///< The message.
    TimePoint Until;     ///< It is not sent after this time.
    TimePoint NextAt;    ///< Time of its entry in EndingTimers.
    Duration RetryDelay; ///< Delay of the next retry; doubles.
    bool IsRetryDue;     ///< False while the last retry has not failed.
  };
  std::map<RequestId, UnsentEnding> UnsentEndings;
  std::set<std::pair<TimePoint, RequestId>> EndingTimers; ///< One per ending.
  size_t NumLingering = 0; ///< Ended packets that wait for a late outcome.
  TimePoint Now;           ///< Time of the current step.
  std::vector<EntryAction> Actions; ///< Actions of the current step.

  // Events. Each may end packets.
  void on(const PacketArrived &event);
  void on(const OwnerReplied &event);
  void on(const FlowReplied &event);
  void on(const KeyReplied &event);
  void on(const PeerLost &event);
  void on(const SendFailed &event);
  void on(const CallerLeft &event);
  void on(const EntryTicked &event);
  void on(const ViewChanged &event);
  void on(const SettleFailed &event);

  // Placement (EntryPlacement.cpp). Each may end the packet.
  void place(EntryPacket &p);
  bool placeByToken(EntryPacket &p, const ServiceRoute &route);
  void placeNewFlow(EntryPacket &p, const ServiceRoute &route);
  void placeEstablishedFlow(EntryPacket &p, const ServiceRoute &route);
  void forwardToFlowServer(EntryPacket &p, const RoutedServer &server,
                           bool byToken, const char *rule);
  void forwardToFlowServerById(EntryPacket &p, const ServerId &server,
                               const char *rule);
  void retryOnNextCandidate(EntryPacket &p, const Outcome &refusal);
  bool reserveRetryAfterOwnerLoss(EntryPacket &p, const VmId &lost);
  void startSearch(EntryPacket &p);
  void sendQuestions(EntryPacket &p);
  void evaluateSearch(EntryPacket &p);
  void evaluateKeyClaims(EntryPacket &p);
  void handleOwnerLoss(EntryPacket &p, bool notSent);

  // Helpers.
  void forward(EntryPacket &p, const RoutedServer &server, bool accept,
               bool byToken, const char *rule);
  void sendKeyClaims(EntryPacket &p);
  void resendKeyClaims(EntryPacket &p);
  void startClaimWaits(EntryPacket &p);
  std::optional<Duration> claimResendDelay(const EntryPacket &p) const;
  void setTimer(EntryPacket &p, TimePoint when);
  FlowId rankKey(const EntryPacket &p) const;
  bool consumeRetry(const EntryPacket &p);
  Duration jitteredRetryAfter();
  void handleTimer(EntryPacket &p);
  void abandon(EntryPacket &p, Reason why);
  void settleKey(const EntryPacket &p, OutcomeKind how);
  void setEndingTimer(UnsentEnding &ending, TimePoint when);
  void handleEndingTimer(UnsentEnding &ending);
  void end(EntryPacket &p, OutcomeKind how, Reason why, const ServerId &server,
           Duration retryAfter, const char *rule);
  void end(EntryPacket &p, Outcome outcome, const char *rule);
  void erase(EntryPacket &p);
  EntryPacket *find(RequestId request);
  std::vector<RequestId> requestIds() const;
  void explain(const EntryPacket &p, DecisionKind kind, const char *rule,
               const std::string &result, const ServerId &server,
               const VmId &peer);
};

} // namespace balsamrack

#endif // BALSAMRACK_FLOWS_ENTRYROUTERSTATE_H
