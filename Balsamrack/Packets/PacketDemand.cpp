#include <algorithm>
#include <utility>

#include "Balsamrack/Packets/PacketRouter.h"

// Demand of the failure domains and its exchange with peers: part of
// PacketRouter.

namespace balsamrack {

namespace {

/// Upper bound of a load sample. Servers hold about eight requests more than
/// they have slots, and a small share sees high peaks at random.
constexpr double MaxLoadSample = 3;
/// A rate of zero means that no figures were issued, so figures of an idle
/// domain are sent with the smallest rate of the wire format.
constexpr double MinSentRate = 0.001;

uint32_t shortHash(const ServiceId &id) {
  return static_cast<uint32_t>(id.hash());
}

uint32_t shortHash(const DomainId &id) {
  return static_cast<uint32_t>(id.hash());
}

LoadReport makeLoadReport(const ServiceId &service, const DomainId &domain,
                          const DemandReport &from) {
  LoadReport report;
  report.Service = shortHash(service);
  report.Domain = shortHash(domain);
  if (from.Issued) {
    report.Rate = std::max(from.Issued->Rate, MinSentRate);
    report.Load = from.Issued->Load;
    report.Age = from.Age;
  }
  if (from.Estimate) {
    report.EstimatedRate = std::max(from.Estimate->Rate, MinSentRate);
    report.EstimatedLoad = from.Estimate->Load;
  }
  return report;
}

DemandReport makeDemandReport(const LoadReport &from) {
  DemandReport report;
  if (from.Rate != 0)
    report.Issued = DemandFigures{from.Rate, from.Load};
  report.Age = from.Age;
  if (from.EstimatedRate != 0)
    report.Estimate = DemandFigures{from.EstimatedRate, from.EstimatedLoad};
  return report;
}

} // namespace

void PacketRouter::setDemandFleet(DomainDemand &demand) const {
  auto own = std::find_if(
      Fleet.Domains.begin(), Fleet.Domains.end(),
      [this](const FleetDomain &it) { return it.Id == Settings.Domain; });
  if (own == Fleet.Domains.end())
    demand = DomainDemand();
  else
    demand.setFleet(Fleet.Domains,
                    static_cast<size_t>(own - Fleet.Domains.begin()),
                    Fleet.DomainIndex == 0);
}

void PacketRouter::recordDemand(const ServiceId *service) {
  if (!service)
    return;
  auto it = Demands.find(*service);
  if (it != Demands.end())
    it->second.recordRequest();
}

std::vector<WeightedDaemons>
PacketRouter::demandWeights(const ServiceId &service) const {
  auto it = Demands.find(service);
  // Before all servers are known, only daemons of one domain share the slots.
  return it == Demands.end() || !HasAllServers ? std::vector<WeightedDaemons>()
                                               : it->second.weights();
}

void PacketRouter::updateDemand(TimePoint now) {
  if (!Settings.Load.DomainDemand || now < NextDemandUpdate)
    return;
  NextDemandUpdate = now + DomainDemand::UpdatePeriod;
  for (auto &[id, service] : Servers.mutableServices()) {
    if (service.AcceptingServers.empty()) {
      Demands.erase(id);
      service.SiteLoad.reset();
      continue;
    }
    auto [it, isNew] = Demands.try_emplace(id);
    DomainDemand &demand = it->second;
    if (isNew)
      setDemandFleet(demand);
    double load =
        service.Share > 0
            ? std::min(service.InProgress / service.Share, MaxLoadSample)
            : 0;
    demand.update(now, load);
    service.SiteLoad = demand.siteLoad(now);
    if (demand.updateWeights(now))
      updateShares(id, service);
  }
}

LoadReports PacketRouter::loadReports(TimePoint now) {
  std::vector<LoadReport> all;
  for (const auto &[id, demand] : Demands)
    for (size_t i = 0; i < demand.weights().size(); ++i)
      if (auto report = demand.report(now, i))
        all.push_back(makeLoadReport(id, Fleet.Domains[i].Id, *report));
  LoadReports sent;
  if (all.size() > LoadReports::MaxReports) {
    // Messages carry the reports in turn.
    NextLoadReport %= all.size();
    std::rotate(all.begin(),
                all.begin() + static_cast<ptrdiff_t>(NextLoadReport),
                all.end());
    NextLoadReport += LoadReports::MaxReports;
    all.resize(LoadReports::MaxReports);
  }
  sent.Reports = std::move(all);
  return sent;
}

bool PacketRouter::handleLoadReport(TimePoint now, const LoadReport &report) {
  auto service =
      std::find_if(Demands.begin(), Demands.end(), [&](const auto &it) {
        return shortHash(it.first) == report.Service;
      });
  auto domain = std::find_if(
      Fleet.Domains.begin(), Fleet.Domains.end(),
      [&](const FleetDomain &it) { return shortHash(it.Id) == report.Domain; });
  if (service == Demands.end() || domain == Fleet.Domains.end())
    return false;
  return service->second.merge(
      now, static_cast<size_t>(domain - Fleet.Domains.begin()),
      makeDemandReport(report));
}

void PacketRouter::handleLoadReports(TimePoint now,
                                     const LoadReports &reports) {
  if (!Settings.Load.DomainDemand)
    return;
  if (reports.Invalid)
    ++ReportCounts.Ignored;
  for (const LoadReport &it : reports.Reports)
    ++(handleLoadReport(now, it) ? ReportCounts.Used : ReportCounts.Ignored);
}

std::vector<ServiceDemandStatus>
PacketRouter::domainDemand(TimePoint now) const {
  std::vector<ServiceDemandStatus> all;
  for (const auto &[id, demand] : Demands)
    all.push_back({id, demand.status(now)});
  return all;
}

} // namespace balsamrack
