#include "Balsamrack/Decisions/DomainDemand.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace balsamrack {

namespace {

constexpr double MicrosPerSecond = 1e6;
/// Time constant of a daemon's own measurement. Demand that varies with a
/// period of 17 s must be followed with a total lag well below a quarter of it.
/// With half a second, random differences gave weights at even demand.
constexpr Duration Smoothing{1'000'000};
/// Time until a daemon's own measurement counts. Before that its rate is
/// unknown, not zero.
constexpr Duration MinObservation{1'000'000};
/// A longer gap between measurements means that the process was suspended; its
/// counts say nothing about the demand meanwhile.
constexpr Duration MaxMeasurementGap{1'000'000};
/// Minimum weight of this daemon's own measurement in its estimate; in a
/// smaller domain, the measurements of all daemons count the same. A lower
/// value would average more daemons, but would follow changes too slowly.
constexpr double MinOwnWeight = 1.0 / 3;
/// Weight of one peer's estimate in the smoothed estimates of peers.
constexpr double PeerWeight = 0.5;
/// Period in which figures are issued.
constexpr Duration IssuePeriod{500'000};
/// Issued figures change by at most this factor per period, so that daemons
/// that miss an issue still have about the same ranges.
constexpr double MaxIssueFactor = 1.5;
/// Issued figures stay the same while the estimate differs by less than this
/// part: the estimates of a domain with 15 daemons of 20 requests a second have
/// a standard deviation of about 5%.
constexpr double IssueTolerance = 0.05;
/// Time from the issue of figures until all daemons that have them use them.
/// With digests every 250 ms most daemons do; a delay of a second lost more by
/// its lag at swinging demand than it gained by fewer overlaps.
constexpr Duration InForceDelay{500'000};
/// Weight of one estimate in the slow mean of estimates from which the trend is
/// taken: in steady growth, that mean lags by 1.5 s. Issued rates are the
/// estimate plus its distance from the slow mean, that is, the rate
/// expected 1.5 s later. The measurement, the exchange and the delay take about
/// as long; without the trend, swinging demand was served worse than with equal
/// shares.
constexpr double TrendWeight = 0.25;
/// Copies of one issue that arrive on different paths seem to be issued at
/// slightly different times, by the time that their messages were under way.
constexpr Duration MinNewer{100'000};
/// Lower rates are unknown: they say little, and need no weights.
constexpr double MinRate = 1;
/// Absurd values, such as from a faulty or forged message.
constexpr double MaxRate = 1e6;
constexpr double MaxLoad = 1e3;
/// A domain's rate is pulled towards the mean of all like a measurement with
/// this many more requests at the mean rate. The standard deviation of as many
/// random requests equals the imbalance that is tolerated.
constexpr double PriorRequests = 16;
/// Weights are equal below the first ratio of the highest to the lowest demand,
/// which random differences reach as well, and proportional to demand above the
/// second. Between them they grow steadily, so that figures near a limit do not
/// switch weights on and off.
constexpr double MinRatio = 1.25;
constexpr double FullRatio = 1.5;
/// Highest ratio of two weights: a domain keeps a part of the slots for a
/// sudden rise of its demand.
constexpr double MaxWeightRatio = 8;
/// Minimum time between changes of weights, since each change iterates over all
/// servers of the service.
constexpr Duration WeightsPeriod{500'000};
/// Smaller changes of weights are not worth such an iteration.
constexpr double MinWeightChange = 0.03;

double seconds(Duration d) {
  return static_cast<double>(d.count()) / MicrosPerSecond;
}

bool isValid(const DemandFigures &it) {
  // False for NaN as well.
  return it.Rate >= 0 && it.Rate <= MaxRate && it.Load >= 0 &&
         it.Load <= MaxLoad;
}

DemandFigures mix(const DemandFigures &a, const DemandFigures &b,
                  double partOfB) {
  return {a.Rate + partOfB * (b.Rate - a.Rate),
          a.Load + partOfB * (b.Load - a.Load)};
}

/// Pulls \p rates of domains towards their mean as far as they may be random.
void shrinkToMean(std::vector<double> &rates, double mean,
                  const std::vector<WeightedDaemons> &daemons) {
  for (size_t i = 0; i < rates.size(); ++i) {
    double counted = rates[i] * static_cast<double>(daemons[i].Daemons) * 2 *
                     seconds(Smoothing);
    double prior = PriorRequests;
    rates[i] = mean + (rates[i] - mean) * counted / (counted + prior);
  }
}

} // namespace

DomainDemand::Domain *DomainDemand::findDomain(const DomainId &id) {
  auto it = std::find_if(Domains.begin(), Domains.end(),
                         [&](const Domain &domain) { return domain.Id == id; });
  return it == Domains.end() ? nullptr : &*it;
}

void DomainDemand::setFleet(const std::vector<FleetDomain> &domains, size_t own,
                            bool issues) {
  assert(own < domains.size());
  std::vector<Domain> next;
  std::vector<WeightedDaemons> weights;
  for (const FleetDomain &it : domains) {
    Domain *known = findDomain(it.Id);
    double weight =
        known ? Weights[static_cast<size_t>(known - Domains.data())].Weight : 1;
    weights.push_back({it.Daemons, weight});
    next.push_back(known ? std::move(*known) : Domain{it.Id, {}});
  }
  Domains = std::move(next);
  Weights = std::move(weights);
  Own = own;
  IssuesFigures = issues;
}

void DomainDemand::measure(TimePoint now, double load) {
  Duration gap = now - MeasuredAt;
  uint64_t started = std::exchange(Started, 0);
  bool isFirst = MeasuringSince == TimePoint{} || gap > MaxMeasurementGap;
  MeasuredAt = now;
  if (isFirst) {
    MeasuringSince = now;
    Measured = {0, load};
    return;
  }
  if (gap <= Duration{0})
    return;
  // At first the mean since the start, so that the first sample does not weigh
  // more than others.
  double weight = std::max(1 - std::exp(-seconds(gap) / seconds(Smoothing)),
                           seconds(gap) / seconds(now - MeasuringSince));
  double rate = static_cast<double>(started) / seconds(gap);
  Measured = mix(Measured, {rate, load}, weight);
}

std::optional<DemandFigures> DomainDemand::estimate(TimePoint now) const {
  bool isMeasured = MeasuringSince != TimePoint{} &&
                    MeasuredAt - MeasuringSince >= MinObservation;
  bool hasPeers = PeersMeanAt != TimePoint{} && now - PeersMeanAt <= MaxAge;
  if (!isMeasured && !hasPeers)
    return std::nullopt;
  if (!isMeasured || !hasPeers)
    return isMeasured ? Measured : PeersMean;
  auto daemons = static_cast<double>(Weights[Own].Daemons);
  return mix(PeersMean, Measured, std::max(1 / daemons, MinOwnWeight));
}

void DomainDemand::addIssue(TimePoint now, Domain &to,
                            const Issue &issue) const {
  to.Issues.push_back(issue);
  // Earlier issues than the one in force are not needed.
  size_t inForce = 0;
  for (size_t i = 0; i < to.Issues.size(); ++i)
    if (now - to.Issues[i].At >= InForceDelay)
      inForce = i;
  to.Issues.erase(to.Issues.begin(),
                  to.Issues.begin() + static_cast<ptrdiff_t>(inForce));
}

void DomainDemand::issue(TimePoint now) {
  auto next = estimate(now);
  if (!IssuesFigures || !next || now < NextIssue)
    return;
  // After a pause the earlier mean is no base for a trend.
  if (now > NextIssue + IssuePeriod)
    SlowRate = next->Rate;
  SlowRate += TrendWeight * (next->Rate - SlowRate);
  next->Rate = std::max(0.0, 2 * next->Rate - SlowRate);
  NextIssue = now + IssuePeriod;
  Domain &own = Domains[Own];
  bool isKnown = !own.Issues.empty() && now - own.Issues.back().At <= MaxAge &&
                 own.Issues.back().Figures.Rate >= MinRate;
  if (isKnown) {
    double last = own.Issues.back().Figures.Rate;
    if (std::abs(next->Rate - last) <= IssueTolerance * last)
      next->Rate = last;
    next->Rate =
        std::clamp(next->Rate, last / MaxIssueFactor, last * MaxIssueFactor);
  }
  addIssue(now, own, {*next, now});
}

void DomainDemand::update(TimePoint now, double load) {
  if (Domains.empty())
    return;
  measure(now, load);
  issue(now);
}

bool DomainDemand::merge(TimePoint now, size_t domain,
                         const DemandReport &report) {
  bool isKnown = domain < Domains.size() && (report.Issued || report.Estimate);
  bool isOld =
      report.Issued && (report.Age < Duration{0} || report.Age > MaxAge);
  if (!isKnown || isOld || (report.Issued && !isValid(*report.Issued)) ||
      (report.Estimate && !isValid(*report.Estimate)))
    return false;
  PeerReportAt = now;
  if (report.Estimate && domain == Own) {
    bool isFirst = PeersMeanAt == TimePoint{} || now - PeersMeanAt > MaxAge;
    PeersMean = mix(PeersMean, *report.Estimate, isFirst ? 1 : PeerWeight);
    PeersMeanAt = now;
  }
  // The daemon that issues its domain's figures takes them from nobody.
  bool isOwnIssue = domain == Own && IssuesFigures && NextIssue != TimePoint{};
  if (!report.Issued || isOwnIssue)
    return true;
  Domain &to = Domains[domain];
  TimePoint issuedAt = now - report.Age;
  if (to.Issues.empty() || issuedAt > to.Issues.back().At + MinNewer)
    addIssue(now, to, {*report.Issued, issuedAt});
  return true;
}

std::optional<DemandReport> DomainDemand::report(TimePoint now,
                                                 size_t domain) const {
  DemandReport report;
  const std::vector<Issue> &issues = Domains[domain].Issues;
  if (!issues.empty() && now - issues.back().At <= MaxAge) {
    report.Issued = issues.back().Figures;
    report.Age = now - issues.back().At;
  }
  if (domain == Own)
    report.Estimate = estimate(now);
  if (!report.Issued && !report.Estimate)
    return std::nullopt;
  return report;
}

std::optional<double> DomainDemand::rateInForce(TimePoint now,
                                                const Domain &domain) const {
  if (domain.Issues.empty() || now - domain.Issues.back().At > MaxAge)
    return std::nullopt;
  // A daemon that has just started uses what it gets first at once.
  double rate = domain.Issues.front().Figures.Rate;
  for (const Issue &it : domain.Issues)
    if (now - it.At >= InForceDelay)
      rate = it.Figures.Rate;
  return rate >= MinRate ? std::make_optional(rate) : std::nullopt;
}

std::vector<double> DomainDemand::targetWeights(TimePoint now) const {
  std::vector<std::optional<double>> known;
  double sum = 0, daemons = 0;
  size_t count = 0;
  for (size_t i = 0; i < Domains.size(); ++i) {
    known.push_back(rateInForce(now, Domains[i]));
    if (!known.back())
      continue;
    auto n = static_cast<double>(Weights[i].Daemons);
    sum += n * *known.back();
    daemons += n;
    ++count;
  }
  std::vector<double> weights(Domains.size(), 1);
  if (count < 2)
    return weights;
  // A domain whose demand is unknown counts with the mean of the others.
  double mean = sum / daemons;
  std::vector<double> rates;
  rates.reserve(known.size());
  for (const auto &rate : known)
    rates.push_back(rate.value_or(mean));
  shrinkToMean(rates, mean, Weights);
  auto [least, most] = std::minmax_element(rates.begin(), rates.end());
  double ratio = std::min(*most / *least, MaxWeightRatio);
  double effect =
      std::clamp((ratio - MinRatio) / (FullRatio - MinRatio), 0.0, 1.0);
  double lowest = *most / ratio;
  for (size_t i = 0; i < rates.size(); ++i)
    weights[i] = std::pow(std::max(rates[i], lowest) / mean, effect);
  return weights;
}

bool DomainDemand::updateWeights(TimePoint now) {
  if (now < NextWeights)
    return false;
  std::vector<double> next = targetWeights(now);
  bool isEven =
      std::all_of(next.begin(), next.end(), [](double it) { return it == 1; });
  bool changed = false;
  for (size_t i = 0; i < next.size(); ++i) {
    double last = Weights[i].Weight;
    changed = changed || std::abs(next[i] / last - 1) > MinWeightChange ||
              (isEven && last != 1);
  }
  if (!changed)
    return false;
  NextWeights = now + WeightsPeriod;
  for (size_t i = 0; i < next.size(); ++i)
    Weights[i].Weight = next[i];
  return true;
}

std::optional<double> DomainDemand::siteLoad(TimePoint now) const {
  if (PeerReportAt == TimePoint{} || now - PeerReportAt > MaxAge)
    return std::nullopt;
  double sum = 0, slots = 0;
  for (size_t i = 0; i < Domains.size(); ++i) {
    const std::vector<Issue> &issues = Domains[i].Issues;
    if (issues.empty() || now - issues.back().At > MaxAge)
      continue;
    // Weights are proportional to the daemons' slots.
    double part = Weights[i].Weight * static_cast<double>(Weights[i].Daemons);
    sum += part * issues.back().Figures.Load;
    slots += part;
  }
  return slots > 0 ? std::make_optional(sum / slots) : std::nullopt;
}

std::vector<DemandStatus> DomainDemand::status(TimePoint now) const {
  std::vector<DemandStatus> all;
  for (size_t i = 0; i < Domains.size(); ++i) {
    if (Domains[i].Issues.empty())
      continue;
    const Issue &last = Domains[i].Issues.back();
    all.push_back(
        {Domains[i].Id, last.Figures, now - last.At, Weights[i].Weight});
  }
  return all;
}

} // namespace balsamrack
