#include "Balsamrack/Replay/Replayer.h"

#include <utility>

#include "Balsamrack/Core/Errors.h"

namespace balsamrack {

namespace {

absl::Status invalidTraceError(const TraceLine &line,
                               const std::string &message) {
  return makeError(absl::StatusCode::kInvalidArgument, Step::Replay,
                   line.Machine, message);
}

bool isBlankOrComment(const std::string &line) {
  return line.empty() || line[0] == '#';
}

template <class Actions>
std::vector<std::string> encodeAll(const TraceLine &line, Actions actions) {
  std::vector<std::string> lines;
  lines.reserve(actions.size());
  for (auto &it : actions)
    lines.push_back(encodeActionLine({line.Machine, line.At, std::move(it)}));
  return lines;
}

} // namespace

absl::StatusOr<std::vector<std::string>>
Replayer::processLine(const std::string &text) {
  if (isBlankOrComment(text))
    return std::vector<std::string>();
  auto line = decodeTraceLine(text);
  if (!line.ok())
    return line.status();
  if (std::holds_alternative<RouterOpened>(line->Payload) ||
      std::holds_alternative<OwnerOpened>(line->Payload)) {
    const absl::Status status = open(*line);
    if (!status.ok())
      return status;
    return std::vector<std::string>();
  }
  const auto machine = Machines.find(line->Machine);
  if (machine == Machines.end())
    return invalidTraceError(*line, "event for a machine that was not opened");
  if (line->At < machine->second.LastStepTime)
    return invalidTraceError(*line, "time is before the previous step");
  machine->second.LastStepTime = line->At;
  return step(machine->second, *line);
}

absl::Status Replayer::open(const TraceLine &line) {
  Machine machine;
  machine.LastStepTime = line.At;
  if (const auto *router = std::get_if<RouterOpened>(&line.Payload)) {
    auto created = EntryRouter::create(router->Settings, router->Seed);
    if (!created.ok())
      return created.status();
    machine.Impl = std::move(*created);
  } else if (const auto *owner = std::get_if<OwnerOpened>(&line.Payload)) {
    auto created =
        ServiceOwner::create(OwnerSettings(), owner->Service, owner->Seed);
    if (!created.ok())
      return created.status();
    machine.Impl = std::move(*created);
  }
  Machines[line.Machine] = std::move(machine);
  return absl::OkStatus();
}

absl::StatusOr<std::vector<std::string>> Replayer::step(Machine &machine,
                                                        const TraceLine &line) {
  if (const auto *event = std::get_if<EntryEvent>(&line.Payload)) {
    auto *router = std::get_if<std::unique_ptr<EntryRouter>>(&machine.Impl);
    if (!router)
      return invalidTraceError(
          line, "entry event for a machine that is not an entry");
    return encodeAll(line, (*router)->step(line.At, *event));
  }
  auto *owner = std::get_if<std::unique_ptr<ServiceOwner>>(&machine.Impl);
  if (!owner)
    return invalidTraceError(line,
                             "owner event for a machine that is not an owner");
  return encodeAll(line,
                   (*owner)->step(line.At, std::get<OwnerEvent>(line.Payload)));
}

std::optional<ReplayDifference>
compareOutcomes(const std::vector<std::string> &actual,
                const std::vector<std::string> &expected) {
  size_t next = 0;
  for (size_t i = 0; i < expected.size(); ++i) {
    if (isBlankOrComment(expected[i]))
      continue;
    const std::string actualLine = next < actual.size() ? actual[next] : "";
    if (actualLine != expected[i])
      return ReplayDifference{i + 1, expected[i], actualLine};
    ++next;
  }
  if (next < actual.size())
    return ReplayDifference{expected.size() + 1, "", actual[next]};
  return std::nullopt;
}

} // namespace balsamrack
