#ifndef BALSAMRACK_DECISIONS_OWNEROUTPUT_H
#define BALSAMRACK_DECISIONS_OWNEROUTPUT_H

#include <string>
#include <utility>
#include <vector>

#include "Balsamrack/Core/Errors.h"
#include "Balsamrack/Decisions/AdmissionQueue.h"
#include "Balsamrack/Decisions/OwnerActions.h"

namespace balsamrack {

/// Inputs of a rule by name, as the journal shows them.
using DecisionInputs = std::vector<std::pair<std::string, std::string>>;

/// How a request is to end.
struct RequestEnd {
  OutcomeKind How = OutcomeKind::NotRun; ///< What the caller is told.
  Reason Why = Reason::None;             ///< The rule behind it.
  Duration RetryAfter{0};                ///< When to come back.
  Step At = Step::Admit;                 ///< Step at which it ended.
};

/// Collects the actions of one step and writes their explanations, so that no
/// action goes without one. Not thread-safe.
class OwnerOutput {
public:
  /// Begins a step at \p now under \p ticket.
  void begin(TimePoint now, TicketNumber ticket);
  /// The actions since begin().
  std::vector<OwnerAction> finish();

  /// Dispatches \p request to \p server.
  void start(const QueuedRequest &request, const ServerId &server,
             DecisionInputs inputs);
  /// Explains that \p request waits.
  void queued(const QueuedRequest &request, const ServerId &server,
              DecisionInputs inputs);
  /// Tells the server that nobody waits for \p request.
  void cancel(RequestId request, const ServerId &server);
  /// Ends \p request. An end that says "not run" becomes "outcome unknown" when
  /// an earlier dispatch of it may have run: that is true, the other is not.
  void end(const QueuedRequest &request, const ServerId &server, RequestEnd end,
           DecisionInputs inputs);
  /// Explains a decision on a server.
  void explain(DecisionKind kind, const ServerId &server,
               const std::string &rule, const std::string &result,
               DecisionInputs inputs);
  /// Explains a retry.
  void retried(const QueuedRequest &request, const ServerId &server,
               DecisionInputs inputs);
  /// Passes on a server's condition.
  void condition(ServerCondition condition);

private:
  Decision about(const Envelope &head, const ServerId &server, Step step) const;

  TimePoint Now;                    ///< Time of the step.
  TicketNumber Ticket;              ///< Highest ticket in force.
  std::vector<OwnerAction> Actions; ///< Since begin().
};

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_OWNEROUTPUT_H
