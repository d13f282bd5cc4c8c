#include "Balsamrack/Client/TicketCommands.h"

#include <nlohmann/json.hpp>

#include "Balsamrack/Configuration/ConfigurationStore.h"
#include "Balsamrack/Configuration/TicketCheck.h"
#include "Balsamrack/Configuration/TicketCodec.h"
#include "Balsamrack/Core/Errors.h"
#include "absl/strings/str_cat.h"

namespace balsamrack {

namespace {

using nlohmann::json;

const char *changeName(ObjectChange::Kind kind) {
  switch (kind) {
  case ObjectChange::Kind::Created:
    return "created";
  case ObjectChange::Kind::Changed:
    return "changed";
  case ObjectChange::Kind::Deleted:
    return "deleted";
  case ObjectChange::Kind::Superseded:
    break;
  }
  return "overtaken";
}

/// Merges the configurations of the daemons by the same rule as the daemons.
void mergeConfigurations(const std::vector<DaemonReply> &replies,
                         ConfigurationStore &store) {
  for (const DaemonReply &reply : replies) {
    const json body = json::parse(reply.Body, nullptr, false);
    if (!reply.isOk() || !body.is_object() || !body.contains("objects") ||
        !body["objects"].is_array())
      continue;
    for (const json &it : body["objects"]) {
      auto object = objectFromJson(it);
      if (object.ok())
        store.merge({*object});
    }
  }
}

Report rejectionReport(const absl::Status &status, OutputFormat format) {
  const std::string message(status.message());
  if (format == OutputFormat::Json)
    return {json{{"accepted", false}, {"reason", message}}.dump(2) + "\n",
            ExitCodes::No, ""};
  return {absl::StrCat("rejected: ", message, "\n"), ExitCodes::No, ""};
}

} // namespace

Report checkTicketText(const std::string &text,
                       const std::vector<DaemonReply> &replies,
                       OutputFormat format) {
  const auto ticket = parseTicket(text);
  if (!ticket.ok())
    return rejectionReport(ticket.status(), format);
  const absl::Status status = checkTicket(*ticket);
  if (!status.ok())
    return rejectionReport(status, format);

  // Determines the changes and the dangling references that would result.
  auto store = ConfigurationStore::create();
  mergeConfigurations(replies, *store);
  const auto changes = store->previewChanges(*ticket);
  store->merge(ticket->Objects);
  const auto warnings = configurationWarnings(*store->view());
  Report report;
  json document = {{"accepted", true},
                   {"ticket", ticket->Number.Value},
                   {"changes", json::array()},
                   {"warnings", warnings}};
  report.Text =
      absl::StrCat("ticket ", ticket->Number.Value, " would be accepted\n");
  for (const ObjectChange &it : changes) {
    document["changes"].push_back({{"kind", objectKindName(it.Key.Kind)},
                                   {"id", it.Key.Name},
                                   {"change", changeName(it.Change)},
                                   {"held_by_ticket", it.HeldTicket.Value}});
    absl::StrAppend(&report.Text, "  ", objectKindName(it.Key.Kind), " ",
                    it.Key.Name, ": ", changeName(it.Change));
    if (it.HeldTicket.Value > 0)
      absl::StrAppend(&report.Text, " (held by ticket ", it.HeldTicket.Value,
                      ")");
    absl::StrAppend(&report.Text, "\n");
  }
  for (const std::string &it : warnings)
    absl::StrAppend(&report.Text, "warning: ", it, "\n");
  if (format == OutputFormat::Json)
    report.Text = document.dump(2) + "\n";
  for (const DaemonReply &it : replies)
    if (!it.isOk()) {
      absl::StrAppend(&report.Notes, "balsamctl: daemon ", it.Daemon.str(),
                      " is unreachable\n");
      report.ExitCode = ExitCodes::Partial;
    }
  return report;
}

} // namespace balsamrack
