#include "Balsamrack/Decisions/DrainTracker.h"

namespace balsamrack {

bool DrainTracker::update(TimePoint now, const BackendServer &server,
                          bool domainInService) {
  bool drains = server.Mode == ServerMode::Draining;
  bool changed = drains != isDraining() || DomainOut == domainInService;
  // A repeated ticket must not restart the limit.
  if (drains && !Since)
    Since = now;
  if (!drains)
    Since.reset();
  Limit = server.DrainLimit;
  DomainOut = !domainInService;
  return changed;
}

std::optional<DrainTracker::Refusal>
DrainTracker::checkRefusal(TimePoint now, bool newFlow) const {
  OutcomeKind how = newFlow ? OutcomeKind::NotRun : OutcomeKind::GivenUp;
  if (DomainOut)
    return Refusal{how, Reason::DomainOutOfService};
  if (Since && (newFlow || now >= *limit()))
    return Refusal{how, Reason::ServerDraining};
  return std::nullopt;
}

const char *DrainTracker::rule() const {
  if (DomainOut)
    return "domain-out";
  return Since ? "server-draining" : "in-service";
}

const char *DrainTracker::result() const {
  if (DomainOut)
    return "gives all flows up";
  return Since ? "takes no new flows" : "takes new flows";
}

std::optional<TimePoint> DrainTracker::limit() const {
  if (!Since)
    return std::nullopt;
  return *Since + Limit;
}

} // namespace balsamrack
