#include "Balsamrack/Settings/PacketSettings.h"

#include <nlohmann/json.hpp>

#include "Balsamrack/Settings/SchemaCheck.h"
#include "absl/strings/str_cat.h"

namespace balsamrack {

namespace {

using nlohmann::json;

constexpr const char *AddressForm = "an IPv4 address and port, as 10.0.0.1:80";
constexpr double MicrosPerSecond = 1e6;

void readAddress(const json &document, const std::string &pointer, Address &out,
                 std::vector<SettingsFault> &faults) {
  const json::json_pointer at(pointer);
  if (!document.contains(at))
    return;
  const json &value = document.at(at);
  auto parsed = Address::parse(value.get<std::string>());
  if (!parsed.ok() || parsed->Port == 0)
    faults.push_back({pointer, value.dump(), AddressForm});
  else
    out = *parsed;
}

void readSeeds(const json &document, PacketSettings &out,
               std::vector<SettingsFault> &faults) {
  const json::json_pointer at("/peers/seeds");
  if (!document.contains(at))
    return;
  for (size_t i = 0; i < document.at(at).size(); ++i) {
    Address seed;
    readAddress(document, absl::StrCat("/peers/seeds/", i), seed, faults);
    // Only the host of a seed is used: all daemons listen on the same peer
    // port.
    seed.Port = out.PeerAddress.Port;
    out.Seeds.push_back(seed);
  }
}

void readFlag(const json &document, const char *pointer, bool &out) {
  const json::json_pointer at(pointer);
  if (document.contains(at))
    out = document.at(at).get<bool>();
}

} // namespace

const char *packetSettingsSchema() {
  return R"json({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "balsamrack-packetd settings",
  "type": "object",
  "required": ["vm", "failure_domain", "packets", "ready", "peers", "published"],
  "properties": {
    "vm": {"type": "string", "minLength": 1, "maxLength": 128},
    "failure_domain": {"type": "string", "minLength": 1, "maxLength": 128},
    "packets": {
      "type": "object", "required": ["listen"],
      "properties": {
        "listen": {"type": "string", "minLength": 9, "maxLength": 21},
        "max_flows": {"type": "integer", "minimum": 1000, "maximum": 4000000}
      }
    },
    "ready": {
      "type": "object", "required": ["listen", "path"],
      "properties": {
        "listen": {"type": "string", "minLength": 9, "maxLength": 21},
        "path": {"type": "string", "minLength": 1, "maxLength": 256}
      }
    },
    "peers": {
      "type": "object", "required": ["listen"],
      "properties": {
        "listen": {"type": "string", "minLength": 9, "maxLength": 21},
        "seeds": {"type": "array", "maxItems": 64, "items": {"type": "string", "minLength": 9, "maxLength": 21}}
      }
    },
    "published": {
      "type": "object", "required": ["address"],
      "properties": {"address": {"type": "string", "minLength": 9, "maxLength": 21}}
    },
    "metrics": {
      "type": "object", "required": ["listen"],
      "properties": {"listen": {"type": "string", "minLength": 9, "maxLength": 21}}
    },
    "load": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "admission": {"type": "boolean"},
        "speeds": {"type": "boolean"},
        "domain_demand": {"type": "boolean"}
      }
    },
    "shutdown": {
      "type": "object",
      "properties": {"grace_s": {"type": "number", "minimum": 0.1, "maximum": 600}}
    }
  }
})json";
}

EntryVm PacketSettings::self() const {
  return EntryVm{VmId(PeerAddress.Ip), Domain, PeerAddress, false};
}

std::vector<EntryVm> PacketSettings::seedPeers() const {
  std::vector<EntryVm> peers;
  for (const Address &seed : Seeds)
    if (seed.Ip != PeerAddress.Ip)
      peers.push_back({VmId(seed.Ip), DomainId(), seed, false});
  return peers;
}

PacketSettingsResult parsePacketSettings(const std::string &text) {
  PacketSettingsResult result;
  json document = json::parse(text, nullptr, false);
  if (document.is_discarded()) {
    result.Faults.push_back({"", "invalid JSON", "a JSON object"});
    return result;
  }
  static const json schema = json::parse(packetSettingsSchema());
  result.Faults = checkAgainstSchema(schema, document);
  if (!result.Faults.empty())
    return result;
  PacketSettings &out = result.Values;
  out.Name = document["vm"].get<std::string>();
  out.Domain = DomainId(document["failure_domain"].get<std::string>());
  out.ReadyPath = document["ready"]["path"].get<std::string>();
  readAddress(document, "/packets/listen", out.PacketAddress, result.Faults);
  readAddress(document, "/ready/listen", out.ReadyAddress, result.Faults);
  readAddress(document, "/peers/listen", out.PeerAddress, result.Faults);
  readAddress(document, "/published/address", out.PublishedAddress,
              result.Faults);
  readAddress(document, "/metrics/listen", out.MetricsAddress, result.Faults);
  readSeeds(document, out, result.Faults);
  const json::json_pointer flows("/packets/max_flows");
  if (document.contains(flows))
    out.MaxFlows = document.at(flows).get<uint32_t>();
  readFlag(document, "/load/admission", out.Load.Admission);
  readFlag(document, "/load/speeds", out.Load.Speeds);
  readFlag(document, "/load/domain_demand", out.Load.DomainDemand);
  const json::json_pointer grace("/shutdown/grace_s");
  if (document.contains(grace))
    out.ShutdownGrace = Duration(static_cast<int64_t>(
        document.at(grace).get<double>() * MicrosPerSecond));
  return result;
}

} // namespace balsamrack
