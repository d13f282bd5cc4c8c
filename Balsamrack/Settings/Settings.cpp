#include "Balsamrack/Settings/Settings.h"

#include <arpa/inet.h>

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

#include <nlohmann/json.hpp>

#include "Balsamrack/Core/Errors.h"
#include "Balsamrack/Settings/SchemaCheck.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace balsamrack {

namespace {

using nlohmann::json;

constexpr const char *AddressForm = "an IPv4 address and port, as 10.0.0.1:80";

/// Reads fields that have passed the schema check; collects faults that a
/// schema can not express.
class SettingsReader {
public:
  SettingsReader(const json &document, std::vector<SettingsFault> &faults)
      : Document(document), Faults(faults) {}

  const json *find(const char *pointer) const {
    const json::json_pointer at(pointer);
    return Document.contains(at) ? &Document.at(at) : nullptr;
  }
  void text(const char *pointer, std::string &out) const {
    if (const json *it = find(pointer))
      out = it->get<std::string>();
  }
  template <class Number> void number(const char *pointer, Number &out) const {
    if (const json *it = find(pointer))
      out = it->get<Number>();
  }
  void flag(const char *pointer, bool &out) const {
    if (const json *it = find(pointer))
      out = it->get<bool>();
  }
  void duration(const char *pointer, Duration unit, Duration &out) const {
    if (const json *it = find(pointer))
      out = unit * it->get<int64_t>();
  }
  void address(const std::string &pointer, Address &out) {
    const json &value = Document.at(json::json_pointer(pointer));
    auto parsed = Address::parse(value.get<std::string>());
    if (!parsed.ok() || parsed->Port == 0)
      Faults.push_back({pointer, value.dump(), AddressForm});
    else
      out = *parsed;
  }
  void addressRanges(const std::string &pointer,
                     std::vector<std::string> &out) {
    const json &list = Document.at(json::json_pointer(pointer));
    for (size_t i = 0; i < list.size(); ++i) {
      const std::string text = list[i].get<std::string>();
      if (!isAddressRange(text))
        Faults.push_back({absl::StrCat(pointer, "/", i), list[i].dump(),
                          "an IPv4 address or a range as 10.0.0.0/8"});
      out.push_back(text);
    }
  }

private:
  static bool isAddressRange(const std::string &text) {
    const size_t slash = text.find('/');
    uint32_t bits = 32;
    in_addr raw{};
    if (slash != std::string::npos &&
        (!absl::SimpleAtoi(text.substr(slash + 1), &bits) || bits > 32))
      return false;
    return inet_pton(AF_INET, text.substr(0, slash).c_str(), &raw) == 1;
  }

  const json &Document;
  std::vector<SettingsFault> &Faults;
};

constexpr Duration Millisecond{1'000};
constexpr Duration Second{1'000'000};

void readPeers(SettingsReader &reader, const json &document,
               PeerSettings &out) {
  reader.address("/peers/listen", out.Listen);
  reader.text("/peers/fleet_key", out.FleetKey);
  reader.addressRanges("/peers/allowed", out.Allowed);
  if (!reader.find("/peers/seeds"))
    return;
  const json &seeds = document["peers"]["seeds"];
  for (size_t i = 0; i < seeds.size(); ++i) {
    EntryVm vm;
    vm.Id = VmId(seeds[i]["vm"].get<std::string>());
    vm.Domain = DomainId(seeds[i]["failure_domain"].get<std::string>());
    reader.address(absl::StrCat("/peers/seeds/", i, "/address"), vm.PeerAt);
    out.Seeds.push_back(vm);
  }
}

void readKeys(const SettingsReader &reader, KeySettings &out) {
  reader.duration("/keys/memory_s", Second, out.Memory);
  reader.number("/keys/guardians", out.KeyReplicas);
  reader.number("/keys/max_keys", out.MaxKeys);
  reader.flag("/keys/assume_no_earlier_keys_at_start",
              out.AssumeNoEarlierKeysAtStart);
  const json *policy = reader.find("/keys/when_cut");
  if (policy && *policy == "run_with_reachable")
    out.OnUnreachableReplica = UnreachableReplicaPolicy::RunWithReachable;
}

void readTiming(const SettingsReader &reader, const KeySettings &keys,
                MembershipSettings &out) {
  reader.duration("/membership/period_ms", Millisecond, out.ProbePeriod);
  reader.duration("/membership/probe_timeout_ms", Millisecond,
                  out.ProbeTimeout);
  reader.duration("/membership/suspicion_ms", Millisecond, out.MinSuspicion);
  reader.duration("/membership/lease_ms", Millisecond, out.LeaseTime);
  out.IndirectTimeout = out.ProbeTimeout * 2;
  // Departed daemons matter to idempotency keys for as long as keys are
  // remembered.
  out.ForgetAfter = std::max(out.ForgetAfter, keys.Memory);
}

void readObservability(const SettingsReader &reader,
                       ObservabilitySettings &out) {
  reader.text("/log/level", out.LogLevel);
  reader.text("/log/format", out.LogFormat);
  reader.text("/log/file", out.LogFile);
  reader.text("/trace/file", out.TraceFile);
  reader.text("/record/file", out.RecordFile);
  reader.number("/record/max_bytes", out.RecordMaxBytes);
  reader.number("/journal/decisions", out.JournalDecisions);
}

/// Checks the rules between fields, which a schema can not express.
void checkCrossFieldRules(const Settings &values,
                          std::vector<SettingsFault> &faults) {
  const absl::Status timing = values.Timing.check();
  if (!timing.ok())
    faults.push_back(
        {"/membership", "inconsistent times", std::string(timing.message())});
  if (values.Platform.MaxBackoff < values.Platform.MinBackoff)
    faults.push_back({"/platform/max_backoff_ms",
                      absl::StrCat(values.Platform.MaxBackoff / Millisecond),
                      "at least min_backoff_ms"});
  std::set<VmId> seen{values.Vm};
  for (size_t i = 0; i < values.Peers.Seeds.size(); ++i)
    if (!seen.insert(values.Peers.Seeds[i].Id).second)
      faults.push_back({absl::StrCat("/peers/seeds/", i, "/vm"),
                        values.Peers.Seeds[i].Id.str(),
                        "a name that no other VM has"});
}

} // namespace

std::string SettingsFault::str() const {
  return absl::StrCat(Pointer, ": found ", Found, "; allowed: ", Allowed);
}

SettingsResult parseSettings(const std::string &text) {
  SettingsResult result;
  const json document = json::parse(text, nullptr, false, true);
  if (document.is_discarded()) {
    result.Faults.push_back({"/", "invalid JSON", "a JSON object"});
    return result;
  }
  result.Faults = checkAgainstSchema(json::parse(settingsSchema()), document);
  if (!result.Faults.empty())
    return result;

  // The schema check guarantees types and limits from here on.
  Settings &out = result.Values;
  SettingsReader reader(document, result.Faults);
  out.Vm = VmId(document["vm"].get<std::string>());
  out.Domain = DomainId(document["failure_domain"].get<std::string>());
  reader.text("/callers/ip", out.Callers.Ip);
  in_addr raw{};
  if (inet_pton(AF_INET, out.Callers.Ip.c_str(), &raw) != 1)
    result.Faults.push_back(
        {"/callers/ip", out.Callers.Ip, "an IPv4 address, as 10.0.0.1"});
  reader.number("/callers/port_offset", out.Callers.PortOffset);
  reader.number("/callers/max_body_bytes", out.Callers.MaxBodyBytes);
  reader.number("/callers/max_header_bytes", out.Callers.MaxHeaderBytes);
  reader.number("/callers/max_in_progress", out.Callers.MaxInProgress);
  readPeers(reader, document, out.Peers);
  reader.address("/operators/listen", out.Operators.Listen);
  reader.addressRanges("/operators/allowed", out.Operators.Allowed);
  reader.address("/platform/address", out.Platform.At);
  reader.duration("/platform/watch_ms", Millisecond, out.Platform.Watch);
  reader.duration("/platform/min_backoff_ms", Millisecond,
                  out.Platform.MinBackoff);
  reader.duration("/platform/max_backoff_ms", Millisecond,
                  out.Platform.MaxBackoff);
  readKeys(reader, out.Keys);
  readTiming(reader, out.Keys, out.Timing);
  reader.number("/servers/threads", out.ServerThreads);
  reader.duration("/servers/connect_timeout_ms", Millisecond,
                  out.ServerConnectTimeout);
  reader.duration("/servers/health_period_ms", Millisecond, out.HealthPeriod);
  reader.number("/flows/max_flows", out.MaxFlows);
  readObservability(reader, out.Observability);
  reader.duration("/shutdown/limit_ms", Millisecond, out.ShutdownLimit);
  checkCrossFieldRules(out, result.Faults);
  return result;
}

absl::StatusOr<std::string> readSettingsText(const std::string &path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf()))
    return makeError(absl::StatusCode::kNotFound, Step::ReadSettings, path,
                     "the file can't be read");
  return text.str();
}

absl::StatusOr<SettingsResult> readSettings(const std::string &path) {
  auto text = readSettingsText(path);
  if (!text.ok())
    return text.status();
  return parseSettings(*text);
}

} // namespace balsamrack
