#ifndef BALSAMRACK_PERFORMANCETEST_LOADSCENARIOS_H
#define BALSAMRACK_PERFORMANCETEST_LOADSCENARIOS_H

#include <cstdint>

#include "Balsamrack/Decisions/OwnerSettings.h"
#include "Balsamrack/World/World.h"

namespace balsamrack {

/// Settings that a scenario runs with: the defaults or a baseline.
struct ScenarioLimits {
  OwnerSettings Owner;          ///< Settings of the decisions.
  Service Config;               ///< Queue bound and initial estimates.
  bool DomainOutDrains = false; ///< Taking a domain out of service only
                                ///< drains its servers.
};

/// Returns the default settings.
ScenarioLimits defaultLimits();
/// Returns the defaults with an unbounded FIFO queue and no check of the
/// remaining time.
ScenarioLimits fifoUnbounded();
/// Returns the defaults with a FIFO queue instead of fairness among callers.
ScenarioLimits withoutFairness();
/// Returns the defaults without a ramp: a cold server gets all slots at once.
ScenarioLimits withoutRamp();
/// Returns the defaults without the limit that keeps long work out of some
/// slots.
ScenarioLimits withoutLongWorkGuard();
/// Returns the defaults without ejection of slow and failing servers.
ScenarioLimits withoutEjection();
/// Returns the defaults, but taking a domain out of service only drains it.
ScenarioLimits withoutDomainOut();

/// Returns the goodput of 14 servers with 2 slots and 50 ms of work per
/// request, at \p factor times their capacity, for callers with a 1 s
/// deadline.
double measureGoodput(const ScenarioLimits &limits, double factor, bool quick);
/// Returns the p99 latency of short requests, in milliseconds, under 20% load
/// by short requests and 60% by requests of 1.5 s. Refused requests count as 2
/// s. Measured from 10 s on, when callers of long work have had answers before.
double measureP99ShortBehindLong(const ScenarioLimits &limits, bool quick);
/// Returns Jain's index for a caller that requests 1.6 times the capacity and
/// 20 callers that request 3% each.
double measureFairnessWithHotCaller(const ScenarioLimits &limits, bool quick);
/// Returns the fraction of requests answered in time for callers at a constant
/// load of 30%, during a burst of 800 requests by another caller.
double answeredFractionDuringBurst(const ScenarioLimits &limits);

/// Results of runColdServerScenario().
struct ColdServerFigures {
  double PeakInProgress = 0;   ///< Most concurrent requests while cold.
  double OverloadCrashes = 0;  ///< Overload crashes in ten runs.
  double AnsweredFraction = 0; ///< Fraction of all requests answered.
};
/// Restarts one of four servers, at a load of 75%, without notice to the owner.
/// Ten runs.
ColdServerFigures runColdServerScenario(const ScenarioLimits &limits,
                                        bool quick);

/// Results of runDomainOutageScenario().
struct DomainFigures {
  double LastPacketSeconds = 0; ///< Time from the ticket to the last packet.
  double ReturnP99Ms = 0;       ///< p99 latency in the 5 s after the return.
  double AnsweredFraction = 0;  ///< Fraction of new flows before the return.
  double OverloadCrashes = 0;   ///< Overload crashes of the domain's servers.
  double FalseOutcomes = 0;     ///< Number of false outcomes.
};
/// Takes one of four failure domains, 16 servers at a load of 55%, out of
/// service for 10 s and returns it with cold servers.
DomainFigures runDomainOutageScenario(const ScenarioLimits &limits, bool quick);

/// Returns the fraction of flow openings answered within 300 ms if one server
/// is ten times slower than the others.
double promptFractionWithSlowServer(const ScenarioLimits &limits);

} // namespace balsamrack

#endif // BALSAMRACK_PERFORMANCETEST_LOADSCENARIOS_H
