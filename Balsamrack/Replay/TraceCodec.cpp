#include "Balsamrack/Replay/TraceCodec.h"

#include <array>
#include <utility>

#include "Balsamrack/Core/Errors.h"
#include "Balsamrack/Replay/TraceFields.h"

namespace balsamrack {

namespace {

using nlohmann::json;

/// Names of the alternatives of each variant, by index.
constexpr std::array<const char *, std::variant_size_v<EntryEvent>>
    EntryEventNames = {"PacketArrived", "OwnerReplied", "FlowReplied",
                       "KeyReplied",    "PeerLost",     "SendFailed",
                       "CallerLeft",    "EntryTicked",  "ViewChanged",
                       "SettleFailed"};
constexpr std::array<const char *, std::variant_size_v<OwnerEvent>>
    OwnerEventNames = {"ServersChanged", "RequestArrived", "RequestCancelled",
                       "DispatchEnded",  "HealthReported", "AuthorityChanged",
                       "Ticked",         "ShutdownBegan"};
constexpr std::array<const char *, std::variant_size_v<EntryAction>>
    EntryActionNames = {"SendForward", "SendQuestion", "SendClaim",
                        "SendSettled", "SendCancel",   "EndPacket",
                        "Explain"};
constexpr std::array<const char *, std::variant_size_v<OwnerAction>>
    OwnerActionNames = {"StartDispatch", "CancelDispatch", "EndRequest",
                        "Explain", "ConditionLearned"};

constexpr const char *RouterOpenedName = "RouterOpened";
constexpr const char *OwnerOpenedName = "OwnerOpened";

template <class Ar>
void traceFields(Ar &ar, typename Ar::template Ref<RouterOpened> m) {
  ar("seed", m.Seed);
  ar("max_tries", m.Settings.MaxTries);
  ar("question_candidates", m.Settings.QuestionCandidates);
  ar("question_timeout_us", m.Settings.QuestionTimeout);
  ar("claim_timeout_us", m.Settings.ClaimTimeout);
  // Missing in recordings of versions that refused at once, which 0 does too.
  ar("ending_wait_us", m.Settings.EndingWait);
  ar("guardian_count", m.Settings.KeyReplicaCount);
  ar("key_memory_us", m.Settings.KeyMemory);
  ar("assume_no_earlier_keys", m.Settings.AssumeNoEarlierKeys);
  ar.oneOf("when_cut", m.Settings.OnUnreachableReplica,
           UnreachableReplicaPolicy::RunWithReachable);
  ar("retry_ratio", m.Settings.RetryRatio);
  ar("retry_burst", m.Settings.RetryBurst);
  ar("retry_after_us", m.Settings.RetryAfter);
  ar("linger_us", m.Settings.Linger);
}

template <class Ar>
void traceFields(Ar &ar, typename Ar::template Ref<OwnerOpened> m) {
  ar("seed", m.Seed);
  ar("service", m.Service);
}

template <class T> json encodeObject(const T &value) {
  json object = json::object();
  TraceWriter writer(object);
  traceFields(writer, value);
  return object;
}

template <class Variant, size_t N>
json encodeVariant(const Variant &event,
                   const std::array<const char *, N> &names, json &line) {
  line["what"] = names[event.index()];
  return std::visit([](const auto &it) { return encodeObject(it); }, event);
}

absl::Status invalidLineError(const std::string &message) {
  return makeError(absl::StatusCode::kInvalidArgument, Step::Replay, "",
                   message);
}

template <class T>
bool decodeObject(const json &fields, T &value, std::string &error) {
  TraceReader reader(fields, error);
  traceFields(reader, value);
  return true;
}

/// Decodes the alternative of \p Variant with the name \p name. Returns false
/// if there is none.
template <class Variant, size_t N, size_t I = 0>
bool decodeAlternative(const std::string &name,
                       const std::array<const char *, N> &names,
                       const json &fields, Variant &out, std::string &error) {
  if constexpr (I == N) {
    return false;
  } else {
    if (name != names[I])
      return decodeAlternative<Variant, N, I + 1>(name, names, fields, out,
                                                  error);
    std::variant_alternative_t<I, Variant> value;
    decodeObject(fields, value, error);
    out = std::move(value);
    return true;
  }
}

bool decodePayload(const std::string &name, const json &fields, TraceLine &line,
                   std::string &error) {
  if (name == RouterOpenedName) {
    RouterOpened opened;
    decodeObject(fields, opened, error);
    opened.Settings.TokenKey = TraceTokenKey;
    line.Payload = std::move(opened);
    return true;
  }
  if (name == OwnerOpenedName) {
    OwnerOpened opened;
    decodeObject(fields, opened, error);
    line.Payload = std::move(opened);
    return true;
  }
  EntryEvent entry;
  if (decodeAlternative(name, EntryEventNames, fields, entry, error)) {
    line.Payload = std::move(entry);
    return true;
  }
  OwnerEvent owner;
  if (!decodeAlternative(name, OwnerEventNames, fields, owner, error))
    return false;
  line.Payload = std::move(owner);
  return true;
}

} // namespace

std::string encodeTraceLine(const TraceLine &line) {
  json text = {{"machine", line.Machine},
               {"at_us", line.At.time_since_epoch().count()}};
  if (const auto *router = std::get_if<RouterOpened>(&line.Payload)) {
    text["what"] = RouterOpenedName;
    text["with"] = encodeObject(*router);
  } else if (const auto *owner = std::get_if<OwnerOpened>(&line.Payload)) {
    text["what"] = OwnerOpenedName;
    text["with"] = encodeObject(*owner);
  } else if (const auto *entry = std::get_if<EntryEvent>(&line.Payload)) {
    text["with"] = encodeVariant(*entry, EntryEventNames, text);
  } else if (const auto *event = std::get_if<OwnerEvent>(&line.Payload)) {
    text["with"] = encodeVariant(*event, OwnerEventNames, text);
  }
  return text.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<TraceLine> decodeTraceLine(const std::string &text) {
  const json root = json::parse(text, nullptr, false);
  if (!root.is_object() || !root.contains("machine") ||
      !root["machine"].is_string() || !root.contains("at_us") ||
      !root["at_us"].is_number_integer() || !root.contains("what") ||
      !root["what"].is_string())
    return invalidLineError("expected an object with machine, at_us and what");
  TraceLine line;
  line.Machine = root["machine"].get<std::string>();
  line.At = TimePoint(Duration(root["at_us"].get<int64_t>()));
  const std::string name = root["what"].get<std::string>();
  const json fields = root.value("with", json::object());
  std::string error;
  if (!decodePayload(name, fields, line, error))
    return invalidLineError("unknown event " + name);
  if (!error.empty())
    return invalidLineError(name + ": " + error);
  return line;
}

std::string encodeActionLine(const ActionLine &line) {
  json text = {{"machine", line.Machine},
               {"at_us", line.At.time_since_epoch().count()}};
  if (const auto *entry = std::get_if<EntryAction>(&line.Action))
    text["with"] = encodeVariant(*entry, EntryActionNames, text);
  else if (const auto *owner = std::get_if<OwnerAction>(&line.Action))
    text["with"] = encodeVariant(*owner, OwnerActionNames, text);
  return text.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace balsamrack
