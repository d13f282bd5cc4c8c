#ifndef BALSAMRACK_DECISIONS_DOMAINDEMAND_H
#define BALSAMRACK_DECISIONS_DOMAINDEMAND_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "Balsamrack/Core/Time.h"
#include "Balsamrack/Decisions/FleetDomain.h"
#include "Balsamrack/Decisions/SlotShares.h"

namespace balsamrack {

/// Demand and load, each as the mean of the daemons of a failure domain.
struct DemandFigures {
  double Rate = 0; ///< Requests started per second and daemon.
  double Load = 0; ///< Requests in progress per slot of the daemons' shares.
};

/// What one daemon tells another about a failure domain.
struct DemandReport {
  /// The figures that the domain's first daemon issued; empty for none.
  std::optional<DemandFigures> Issued;
  Duration Age{0}; ///< Time since they were issued.
  /// The sender's estimate for its own domain, which the first daemon of the
  /// domain averages; empty for none.
  std::optional<DemandFigures> Estimate;
};

/// State of a failure domain's demand, for operators.
struct DemandStatus {
  DomainId Domain;       ///< The failure domain.
  DemandFigures Figures; ///< Last issued figures.
  Duration Age{0};       ///< Time since they were issued.
  double Weight = 1;     ///< Weight of each of its daemons in the slot shares.
};

/// Estimates the demand of one service in each failure domain, and weighs the
/// daemons' slot shares by it. One per service and daemon.
///
/// Addresses demand that differs between failure domains. With equal shares, a
/// crowded domain's daemons fill their own slots, assume that all other slots
/// are as full, and let callers wait while slots of other domains are idle.
/// With weights, each daemon's share is proportional to the demand that it
/// gets.
///
/// All daemons must use the same figures at the same time: a daemon's range of
/// slots begins where those of all earlier daemons end, so that a difference of
/// 1% in a weight moves ranges by several slots. Therefore:
/// - The daemons of a domain exchange estimates, and only its first daemon
///   issues figures. All other daemons relay these unchanged. If the first
///   daemon is gone, the next one continues from the figures that it holds.
/// - Issued figures stay the same until the estimate differs by more than
///   noise. They include the trend, since they are used later than measured.
/// - Figures are in force half a second after they were issued, when most
///   daemons have them. The age in a report is a duration, so that this needs
///   no common clock.
/// - Weights are a function of the figures in force alone.
///
/// Deterministic. Not thread-safe.
class DomainDemand {
public:
  /// Period of update(). Short, so that all daemons adopt figures together.
  static constexpr Duration UpdatePeriod{100'000};
  /// Figures older than this are neither used nor sent. They are issued twice a
  /// second, so by then ten were lost or the domain is cut off.
  static constexpr Duration MaxAge{5'000'000};

  /// Sets the live daemons by domain, in the order of the fleet; \p own is the
  /// index of this daemon's domain, and \p issues is true at its first daemon.
  /// Figures and weights of remaining domains are kept. Precondition: own <
  /// domains.size().
  void setFleet(const std::vector<FleetDomain> &domains, size_t own,
                bool issues);
  /// Counts a request that a caller of this daemon started.
  void recordRequest() { ++Started; }
  /// Measures this daemon's rate up to \p now. \p load is the number of
  /// its requests in progress per slot of its share. Call every UpdatePeriod.
  void update(TimePoint now, double load);
  /// Handles a peer's report about the domain at index \p domain. Returns false
  /// if it was ignored because it is invalid or too old.
  bool merge(TimePoint now, size_t domain, const DemandReport &report);
  /// What to tell a peer about the domain at index \p domain; nothing if
  /// unknown.
  std::optional<DemandReport> report(TimePoint now, size_t domain) const;

  /// Computes the weights from the figures in force. Returns true if they
  /// differ from those of weights() by enough to compute shares again.
  bool updateWeights(TimePoint now);
  /// The daemons and their weights by domain, in the order of the fleet; empty
  /// before setFleet().
  const std::vector<WeightedDaemons> &weights() const { return Weights; }
  /// Mean load of the shares of all domains whose load is known. Empty before a
  /// valid report from a peer.
  std::optional<double> siteLoad(TimePoint now) const;
  /// State of the domains with known figures.
  std::vector<DemandStatus> status(TimePoint now) const;

private:
  /// Issued figures of a domain.
  struct Issue {
    DemandFigures Figures;
    TimePoint At; ///< When they were issued.
  };
  /// A domain of the fleet.
  struct Domain {
    DomainId Id;
    std::vector<Issue> Issues; ///< By time; the first is or was in force.
  };

  Domain *findDomain(const DomainId &id);
  void measure(TimePoint now, double load);
  void issue(TimePoint now);
  void addIssue(TimePoint now, Domain &to, const Issue &issue) const;
  std::optional<DemandFigures> estimate(TimePoint now) const;
  std::optional<double> rateInForce(TimePoint now, const Domain &domain) const;
  std::vector<double> targetWeights(TimePoint now) const;

  std::vector<Domain> Domains;          ///< In the order of the fleet.
  std::vector<WeightedDaemons> Weights; ///< See weights().
  size_t Own = 0;                       ///< Index of this daemon's domain.
  bool IssuesFigures = false;           ///< This daemon issues Own's figures.
  uint64_t Started = 0;                 ///< Requests since MeasuredAt.
  DemandFigures Measured;               ///< By this daemon alone.
  TimePoint MeasuringSince; ///< Start of the measurement; zero for none.
  TimePoint MeasuredAt;     ///< Last measurement.
  DemandFigures PeersMean;  ///< Smoothed estimates of peers of the own domain.
  TimePoint PeersMeanAt;    ///< Last such estimate; zero for none.
  TimePoint PeerReportAt;   ///< Last valid report from a peer; zero for none.
  double SlowRate = 0;      ///< Slow mean of the estimated rates.
  TimePoint NextIssue;      ///< When the figures are issued again.
  TimePoint NextWeights;    ///< Earliest next change of Weights.
};

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_DOMAINDEMAND_H
