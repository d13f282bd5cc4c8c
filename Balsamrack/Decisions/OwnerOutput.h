#ifndef BALSAMRACK_DECISIONS_OWNEROUTPUT_H
#define BALSAMRACK_DECISIONS_OWNEROUTPUT_H

#include <string>
#include <utility>
#include <vector>

#include "Balsamrack/Core/Errors.h"
#include "Balsamrack/Decisions/AdmissionQueue.h"
#include "Balsamrack/Decisions/OwnerActions.h"

namespace balsamrack {

/// Inputs of a rule by name, as shown in the journal.
using DecisionInputs = std::vector<std::pair<std::string, std::string>>;

/// How a request ends.
struct RequestEnd {
  OutcomeKind How = OutcomeKind::NotRun; ///< Result reported to the caller.
  Reason Why = Reason::None;             ///< Reason for the result.
  Duration RetryAfter{0};                ///< Delay before a retry.
  Step At = Step::Admit;                 ///< Step at which it ended.
};

/// Collects the actions of one step together with their explanations, so that
/// every action has one. Not thread-safe.
class OwnerOutput {
public:
  /// Starts a step at \p now under \p ticket.
  void begin(TimePoint now, TicketNumber ticket);
  /// Returns the actions since begin().
  std::vector<OwnerAction> finish();

  /// Dispatches \p request to \p server.
  void startDispatch(const QueuedRequest &request, const ServerId &server,
                     DecisionInputs inputs);
  /// Explains that \p request was queued.
  void explainQueued(const QueuedRequest &request, const ServerId &server,
                     DecisionInputs inputs);
  /// Cancels \p request on the server.
  void cancelDispatch(RequestId request, const ServerId &server);
  /// Ends \p request. A result "not run" or "given up" becomes "outcome
  /// unknown" if an earlier dispatch of the request may have run, since it
  /// would be false.
  void endRequest(const QueuedRequest &request, const ServerId &server,
                  RequestEnd end, DecisionInputs inputs);
  /// Explains a decision about a server.
  void explain(DecisionKind kind, const ServerId &server,
               const std::string &rule, const std::string &result,
               DecisionInputs inputs);
  /// Explains a retry.
  void explainRetry(const QueuedRequest &request, const ServerId &server,
                    DecisionInputs inputs);
  /// Publishes the condition of a server.
  void publishCondition(ServerCondition condition);

private:
  Decision makeDecision(const Envelope &head, const ServerId &server,
                        Step step) const;

  TimePoint Now;                    ///< Time of the step.
  TicketNumber Ticket;              ///< Highest ticket in force.
  std::vector<OwnerAction> Actions; ///< Since begin().
};

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_OWNEROUTPUT_H
