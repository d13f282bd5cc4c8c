#ifndef BALSAMRACK_PERFORMANCETEST_LOADSCENARIOS_H
#define BALSAMRACK_PERFORMANCETEST_LOADSCENARIOS_H

#include <cstdint>

#include "Balsamrack/Decisions/OwnerSettings.h"
#include "Balsamrack/World/World.h"

namespace balsamrack {

/// The limits that a scenario runs under: ours, or a baseline's.
struct ScenarioLimits {
  OwnerSettings Owner;          ///< Switches and limits of the decisions.
  Service Config;               ///< Queue bound and first guesses.
  bool DomainOutDrains = false; ///< Domain out is handled as a mere drain.
};

/// As shipped.
ScenarioLimits defaultLimits();
/// One queue in order of arrival without a bound, no check of remaining time.
ScenarioLimits fifoUnbounded();
/// Ours, but in order of arrival.
ScenarioLimits withoutFairness();
/// Ours, but a cold server gets all its slots at once.
ScenarioLimits withoutRamp();
/// Ours, but long work may take all slots.
ScenarioLimits withoutLongWorkGuard();
/// Ours, but slow and failing servers keep their flows.
ScenarioLimits withoutEjection();
/// Ours, but domain out only drains.
ScenarioLimits withoutDomainOut();

/// 14 servers of 2 slots, 50 ms work, callers who wait 1 s, and \p factor times
/// what the servers can answer: share of that which is answered in time.
double measureGoodput(const ScenarioLimits &limits, double factor, bool quick);
/// A fifth of the slots' time is asked for by short work, 60% by requests of
/// 1.5 s: p99 of the short ones in milliseconds, the refused counting as 2 s,
/// from 10 s on, when the callers of long work have been answered before.
double measureP99ShortBehindLong(const ScenarioLimits &limits, bool quick);
/// One caller asks for 1.6 times the capacity, 20 for 3% each: Jain's index.
double measureFairnessWithHotCaller(const ScenarioLimits &limits, bool quick);
/// A caller in a burst of 800 requests, others evenly at 30%: share of the
/// others' requests that is answered in time.
double answeredFractionDuringBurst(const ScenarioLimits &limits);

/// What a server that turned cold under load saw.
struct ColdServerFigures {
  double PeakInProgress = 0;   ///< Most requests at once while it was cold.
  double OverloadCrashes = 0;  ///< How often it fell over in ten plays.
  double AnsweredFraction = 0; ///< Share of all callers' requests answered.
};
/// Four servers at 75% of the capacity; one is restarted without
/// notice. Ten plays.
ColdServerFigures runColdServerScenario(const ScenarioLimits &limits,
                                        bool quick);

/// What callers saw while a failure domain left and came back cold.
struct DomainFigures {
  double LastPacketSeconds = 0; ///< From the ticket to its last packet.
  double ReturnP99Ms = 0;       ///< p99 in the 5 s after its return.
  double AnsweredFraction = 0;  ///< Of new flows, over the whole time.
  double OverloadCrashes = 0;   ///< How often its servers fell over.
  double FalseOutcomes = 0;     ///< Endings that were not true.
};
/// 16 servers in four domains at 55%; one domain is out for 10 s.
DomainFigures runDomainOutageScenario(const ScenarioLimits &limits, bool quick);

/// A server ten times slower than its peers: share of the requests that open a
/// flow answered within 300 ms.
double promptFractionWithSlowServer(const ScenarioLimits &limits);

} // namespace balsamrack

#endif // BALSAMRACK_PERFORMANCETEST_LOADSCENARIOS_H
