#include "Balsamrack/Configuration/TicketCheck.h"

#include <map>
#include <set>

#include "Balsamrack/Core/Errors.h"
#include "absl/strings/str_cat.h"

namespace balsamrack {

namespace {

absl::Status fault(const std::string &pointer, const std::string &what) {
  return makeError(absl::StatusCode::kInvalidArgument, Step::CheckTicket, "",
                   absl::StrCat(pointer, ": ", what));
}

std::string pointerTo(size_t index) { return absl::StrCat("/objects/", index); }

absl::Status checkPorts(const ObjectState &object, size_t index,
                        std::map<uint16_t, std::string> &claimed) {
  const auto *service = std::get_if<Service>(&object.State);
  if (!service)
    return absl::OkStatus();
  for (uint16_t port : service->Ports) {
    auto [it, inserted] = claimed.emplace(port, service->Id.str());
    if (!inserted)
      return fault(absl::StrCat(pointerTo(index), "/state/ports"),
                   absl::StrCat("port ", port, " is claimed by service ",
                                it->second, " too"));
  }
  return absl::OkStatus();
}

void addPortConflictWarnings(const ConfigurationView &view,
                             std::vector<std::string> &warnings) {
  std::map<uint16_t, std::string> claimed;
  for (const auto &[id, service] : view.services())
    for (uint16_t port : service.Ports) {
      auto [it, inserted] = claimed.emplace(port, id.str());
      if (!inserted)
        warnings.push_back(absl::StrCat(
            "port ", port, " is claimed by the services ", it->second, " and ",
            id.str(), "; packets to it reach neither"));
    }
}

} // namespace

absl::Status checkTicket(const Ticket &ticket) {
  if (ticket.Number.Value == 0)
    return fault("/ticket", "must be above zero");
  if (ticket.Objects.empty())
    return fault("/objects", "must not be empty");
  std::set<ObjectKey> seen;
  std::map<uint16_t, std::string> claimed;
  for (size_t i = 0; i < ticket.Objects.size(); ++i) {
    const ObjectState &object = ticket.Objects[i];
    if (object.Ticket != ticket.Number)
      return fault(pointerTo(i),
                   "ticket number differs from that of the ticket");
    if (!seen.insert(object.Key).second)
      return fault(pointerTo(i),
                   absl::StrCat("object ", object.Key.Name, " occurs twice"));
    absl::Status ports = checkPorts(object, i, claimed);
    if (!ports.ok())
      return ports;
  }
  return absl::OkStatus();
}

std::vector<std::string> configurationWarnings(const ConfigurationView &view) {
  std::vector<std::string> warnings;
  for (const auto &[id, server] : view.servers()) {
    if (!view.service(server.Service))
      warnings.push_back(absl::StrCat("server ", id.str(), " names service ",
                                      server.Service.str(),
                                      ", which does not exist"));
    if (view.domains().count(server.Domain) == 0)
      warnings.push_back(absl::StrCat("server ", id.str(), " names domain ",
                                      server.Domain.str(),
                                      ", which does not exist"));
  }
  addPortConflictWarnings(view, warnings);
  return warnings;
}

} // namespace balsamrack
