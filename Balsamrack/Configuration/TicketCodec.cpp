#include "Balsamrack/Configuration/TicketCodec.h"

#include <functional>
#include <limits>
#include <set>
#include <utility>

#include "Balsamrack/Configuration/TicketCheck.h"
#include "Balsamrack/Configuration/TicketFieldReader.h"
#include "Balsamrack/Core/Errors.h"
#include "absl/strings/str_cat.h"

namespace balsamrack {

namespace {

using nlohmann::json;
using Range = TicketFieldReader::Range;

constexpr int MaxDepth = 8;
constexpr size_t MaxPorts = 64;
constexpr Range TicketRange{1, std::numeric_limits<int64_t>::max()};
constexpr Range PortRange{1, 65535};
constexpr Range QueueRange{0, 10'000};
constexpr Range TimeoutMsRange{1, 600'000};
constexpr Range ServiceTimeMsRange{1, 60'000};
constexpr Range IdleSecondsRange{1, 86'400};
constexpr Range SlotRange{1, 64};
constexpr Range ConnectionRange{1, 1'000'000};
constexpr Range WeightRange{1, 10'000};
constexpr Range DrainSecondsRange{0, 86'400};
constexpr int64_t MicrosPerMs = 1'000;
constexpr int64_t MicrosPerSecond = 1'000'000;

absl::Status textFault(const std::string &what) {
  return makeError(absl::StatusCode::kInvalidArgument, Step::CheckTicket, "",
                   absl::StrCat("/: ", what));
}

uint64_t toMs(Duration d) { return d.count() / MicrosPerMs; }
uint64_t toSeconds(Duration d) { return d.count() / MicrosPerSecond; }
Duration fromMs(uint64_t n) {
  return Duration(static_cast<int64_t>(n) * MicrosPerMs);
}
Duration fromSeconds(uint64_t n) {
  return Duration(static_cast<int64_t>(n) * MicrosPerSecond);
}

/// Parser callback for rules beyond the JSON syntax: nesting depth and unique
/// keys.
class StructureCheck {
public:
  /// Called by the parser for each element; returns false on an error.
  bool operator()(int depth, json::parse_event_t event, json &parsed) {
    auto level = static_cast<size_t>(depth);
    if (depth > MaxDepth)
      Fault = "is nested too deeply";
    if (event == json::parse_event_t::object_start && level < Keys.size())
      Keys.resize(level);
    if (event == json::parse_event_t::object_start)
      Keys.resize(level + 1);
    // Parsers differ in which of two equal keys they keep, so a text with
    // duplicate keys is rejected.
    if (event == json::parse_event_t::key && level >= 1 &&
        level <= Keys.size() &&
        !Keys[level - 1].insert(parsed.get<std::string>()).second)
      Fault = absl::StrCat("key ", parsed.get<std::string>().substr(0, 64),
                           " occurs twice");
    return Fault.empty();
  }
  /// The error found; empty for none.
  const std::string &fault() const { return Fault; }

private:
  std::vector<std::set<std::string>> Keys; ///< Keys of each open object.
  std::string Fault;                       ///< The last error found.
};

FailureDomain readDomain(TicketFieldReader &in, const std::string &id) {
  FailureDomain domain;
  domain.Id = DomainId(id);
  domain.Region = RegionId(in.name("region"));
  domain.InService = in.flag("in_service");
  return domain;
}

Service readService(TicketFieldReader &in, const std::string &id) {
  Service service;
  service.Id = ServiceId(id);
  for (uint64_t port : in.numbers("ports", PortRange, MaxPorts))
    service.Ports.push_back(static_cast<uint16_t>(port));
  service.QueuePerServer = static_cast<uint32_t>(
      in.numberOr("queue_per_server", QueueRange, service.QueuePerServer));
  service.DefaultTimeout = fromMs(in.numberOr(
      "default_timeout_ms", TimeoutMsRange, toMs(service.DefaultTimeout)));
  service.ExpectedServiceTime =
      fromMs(in.numberOr("expected_service_time_ms", ServiceTimeMsRange,
                         toMs(service.ExpectedServiceTime)));
  service.FlowIdleTimeout =
      fromSeconds(in.numberOr("flow_idle_timeout_s", IdleSecondsRange,
                              toSeconds(service.FlowIdleTimeout)));
  return service;
}

Address readAddress(TicketFieldReader &in) {
  absl::StatusOr<Address> at = Address::parse(in.text("address"));
  if (at.ok() && at->Port != 0)
    return *at;
  in.addFault("address", "must be an IPv4 address and a port, such as "
                         "10.0.0.1:9001");
  return {};
}

ServerMode readMode(TicketFieldReader &in) {
  if (!in.has("mode"))
    return ServerMode::Active;
  std::string mode = in.text("mode");
  if (mode != "active" && mode != "draining")
    in.addFault("mode", "must be active or draining");
  return mode == "draining" ? ServerMode::Draining : ServerMode::Active;
}

BackendServer readServer(TicketFieldReader &in, const std::string &id) {
  BackendServer server;
  server.Id = ServerId(id);
  server.Service = ServiceId(in.name("service"));
  server.Domain = DomainId(in.name("domain"));
  server.At = readAddress(in);
  server.Slots =
      static_cast<uint32_t>(in.numberOr("slots", SlotRange, server.Slots));
  server.Connections = static_cast<uint32_t>(
      in.numberOr("connections", ConnectionRange, server.Connections));
  server.Weight =
      static_cast<uint32_t>(in.numberOr("weight", WeightRange, server.Weight));
  server.Mode = readMode(in);
  server.DrainLimit = fromSeconds(in.numberOr(
      "drain_limit_s", DrainSecondsRange, toSeconds(server.DrainLimit)));
  return server;
}

ObjectKind readKind(TicketFieldReader &in) {
  std::string kind = in.text("kind");
  if (kind == "service")
    return ObjectKind::Service;
  if (kind == "server")
    return ObjectKind::Server;
  if (kind != "domain")
    in.addFault("kind", "must be domain, service or server");
  return ObjectKind::Domain;
}

absl::Status readState(const json &value, const std::string &pointer,
                       ObjectState &object) {
  TicketFieldReader in(value, pointer);
  switch (object.Key.Kind) {
  case ObjectKind::Domain:
    object.State = readDomain(in, object.Key.Name);
    break;
  case ObjectKind::Service:
    object.State = readService(in, object.Key.Name);
    break;
  case ObjectKind::Server:
    object.State = readServer(in, object.Key.Name);
    break;
  }
  return in.finish();
}

/// Reads the fields common to all objects.
absl::Status readObject(TicketFieldReader &in, ObjectState &object) {
  object.Key.Kind = readKind(in);
  object.Key.Name = in.name("id");
  bool deleted = in.has("deleted");
  if (deleted && !in.flag("deleted"))
    in.addFault("deleted", "must be true, or left out");
  if (deleted && in.has("state"))
    in.addFault("state", "must be left out of a deletion");
  const json *state = deleted ? nullptr : &in.raw("state");
  absl::Status status = in.finish();
  if (!status.ok() || deleted)
    return status;
  return readState(*state, in.pointerTo("state"), object);
}

absl::StatusOr<Ticket> readTicket(const json &value) {
  TicketFieldReader in(value, "");
  Ticket ticket;
  ticket.Number = TicketNumber{in.number("ticket", TicketRange)};
  const json &objects = in.raw("objects");
  if (!objects.is_array())
    in.addFault("objects", "must be a list");
  absl::Status status = in.finish();
  if (!status.ok())
    return status;
  for (size_t i = 0; i < objects.size(); ++i) {
    TicketFieldReader objectReader(objects[i], absl::StrCat("/objects/", i));
    ObjectState object;
    object.Ticket = ticket.Number;
    absl::Status objectStatus = readObject(objectReader, object);
    if (!objectStatus.ok())
      return objectStatus;
    ticket.Objects.push_back(std::move(object));
  }
  return ticket;
}

json stateToJson(const FailureDomain &domain) {
  return {{"region", domain.Region.str()}, {"in_service", domain.InService}};
}

json stateToJson(const Service &service) {
  return {{"ports", service.Ports},
          {"queue_per_server", service.QueuePerServer},
          {"default_timeout_ms", toMs(service.DefaultTimeout)},
          {"expected_service_time_ms", toMs(service.ExpectedServiceTime)},
          {"flow_idle_timeout_s", toSeconds(service.FlowIdleTimeout)}};
}

json stateToJson(const BackendServer &server) {
  bool draining = server.Mode == ServerMode::Draining;
  return {{"service", server.Service.str()},
          {"domain", server.Domain.str()},
          {"address", server.At.str()},
          {"slots", server.Slots},
          {"connections", server.Connections},
          {"weight", server.Weight},
          {"mode", draining ? "draining" : "active"},
          {"drain_limit_s", toSeconds(server.DrainLimit)}};
}

json commonToJson(const ObjectState &object) {
  json value{{"kind", objectKindName(object.Key.Kind)},
             {"id", object.Key.Name}};
  if (const auto *domain = std::get_if<FailureDomain>(&object.State))
    value["state"] = stateToJson(*domain);
  else if (const auto *service = std::get_if<Service>(&object.State))
    value["state"] = stateToJson(*service);
  else if (const auto *server = std::get_if<BackendServer>(&object.State))
    value["state"] = stateToJson(*server);
  else
    value["deleted"] = true;
  return value;
}

} // namespace

absl::StatusOr<Ticket> parseTicket(const std::string &text) {
  if (text.size() > MaxTicketBytes)
    return textFault(
        absl::StrCat("must not be larger than ", MaxTicketBytes, " bytes"));
  StructureCheck structure;
  json value = json::parse(text, std::ref(structure), false);
  if (!structure.fault().empty())
    return textFault(structure.fault());
  if (value.is_discarded())
    return textFault("is not JSON");
  absl::StatusOr<Ticket> ticket = readTicket(value);
  if (!ticket.ok())
    return ticket;
  absl::Status status = checkTicket(*ticket);
  if (!status.ok())
    return status;
  return ticket;
}

const char *objectKindName(ObjectKind kind) {
  switch (kind) {
  case ObjectKind::Domain:
    return "domain";
  case ObjectKind::Service:
    return "service";
  case ObjectKind::Server:
    return "server";
  }
  return "unknown";
}

json objectToJson(const ObjectState &object) {
  json value = commonToJson(object);
  value["ticket"] = object.Ticket.Value;
  return value;
}

absl::StatusOr<ObjectState> objectFromJson(const json &value) {
  TicketFieldReader in(value, "");
  ObjectState object;
  object.Ticket = TicketNumber{in.number("ticket", TicketRange)};
  absl::Status status = readObject(in, object);
  if (!status.ok())
    return status;
  return object;
}

std::string ticketToText(const Ticket &ticket) {
  json objects = json::array();
  for (const ObjectState &object : ticket.Objects)
    objects.push_back(commonToJson(object));
  return json{{"ticket", ticket.Number.Value}, {"objects", objects}}.dump(
      -1, ' ', false, json::error_handler_t::replace);
}

} // namespace balsamrack
