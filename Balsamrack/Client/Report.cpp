#include "Balsamrack/Client/Report.h"

#include <algorithm>
#include <map>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace balsamrack {

namespace {

using nlohmann::json;

/// The daemon's reply as JSON, or null when it is not a JSON object.
json bodyOf(const DaemonReply &reply) {
  json body = json::parse(reply.Body, nullptr, false);
  return body.is_object() ? body : json();
}

/// Returns the value of a member as text, whatever its type; "-" when it is
/// missing.
std::string textOf(const json &object, const char *name) {
  if (!object.is_object() || !object.contains(name) || object[name].is_null())
    return "-";
  const json &value = object[name];
  return value.is_string() ? value.get<std::string>() : value.dump();
}

/// Returns the elements of an array member; empty when it is missing or not an
/// array.
json listOf(const json &object, const char *name) {
  if (object.is_object() && object.contains(name) && object[name].is_array())
    return object[name];
  return json::array();
}

/// Adds a note for each daemon without a usable reply, and sets the exit code
/// accordingly.
void reportFailures(const std::vector<DaemonReply> &replies, Report &report) {
  size_t failed = 0;
  for (const DaemonReply &it : replies) {
    if (it.isOk())
      continue;
    ++failed;
    absl::StrAppend(&report.Notes, "balsamctl: daemon ", it.Daemon.str(),
                    it.CallStatus.ok()
                        ? absl::StrCat(" answered ", it.HttpStatus, ": ",
                                       it.Body.substr(0, 200))
                        : absl::StrCat(" is unreachable"),
                    "\n");
  }
  if (failed == replies.size())
    report.ExitCode = ExitCodes::NoneAnswered;
  else if (failed > 0)
    report.ExitCode = ExitCodes::Partial;
}

/// All replies as one JSON document with one entry per daemon.
std::string asJson(const std::vector<DaemonReply> &replies) {
  json all = json::array();
  for (const DaemonReply &it : replies) {
    json entry = {{"daemon", it.Daemon.str()}, {"reached", it.isOk()}};
    entry["answer"] = bodyOf(it);
    all.push_back(entry);
  }
  return all.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
}

/// Rows below a heading; each column is as wide as its widest cell.
class Table {
public:
  explicit Table(std::vector<std::string> heading) {
    Rows.push_back(std::move(heading));
  }
  void add(std::vector<std::string> row) { Rows.push_back(std::move(row)); }
  std::string str() const {
    std::vector<size_t> widths(Rows[0].size());
    for (const auto &row : Rows)
      for (size_t i = 0; i < row.size(); ++i)
        widths[i] = std::max(widths[i], row[i].size());
    std::string text;
    for (const auto &row : Rows) {
      for (size_t i = 0; i + 1 < row.size(); ++i)
        absl::StrAppend(&text, row[i],
                        std::string(widths[i] + 2 - row[i].size(), ' '));
      absl::StrAppend(&text, row.back(), "\n");
    }
    return text;
  }

private:
  std::vector<std::vector<std::string>> Rows;
};

/// Ids of the members in one state, such as "vm-1, vm-2"; "-" for none.
std::string membersIn(const json &status, const char *state) {
  std::string names;
  for (const json &it : listOf(status, "members"))
    if (textOf(it, "state") == state)
      absl::StrAppend(&names, names.empty() ? "" : ", ", textOf(it, "vm"));
  return names.empty() ? "-" : names;
}

/// Elements of the array \p name of all replies, with the daemon added.
std::vector<json> collectElements(const std::vector<DaemonReply> &replies,
                                  const char *name) {
  std::vector<json> all;
  for (const DaemonReply &reply : replies) {
    const json body = reply.isOk() ? bodyOf(reply) : json();
    for (json it : listOf(body, name)) {
      if (!it.is_object())
        continue;
      it["daemon"] = body.value("vm", reply.Daemon.str());
      all.push_back(std::move(it));
    }
  }
  return all;
}

/// Numeric member for sorting; zero when it is not a number.
double numberOf(const json &object, const char *name) {
  return object.contains(name) && object[name].is_number()
             ? object[name].get<double>()
             : 0;
}

Report makeReport(const std::vector<DaemonReply> &replies, OutputFormat format,
                  std::string text) {
  Report report;
  report.Text =
      format == OutputFormat::Json ? asJson(replies) : std::move(text);
  reportFailures(replies, report);
  return report;
}

} // namespace

Report reportStatus(const std::vector<DaemonReply> &replies,
                    OutputFormat format) {
  Table table({"DAEMON", "VM", "DOMAIN", "TICKET", "PLATFORM", "AUTHORITY",
               "OWNS", "FLOWS", "ALIVE", "SUSPECT", "DEAD"});
  for (const DaemonReply &it : replies) {
    const json body = it.isOk() ? bodyOf(it) : json();
    if (!it.isOk()) {
      table.add({it.Daemon.str(), "unreachable", "-", "-", "-", "-", "-", "-",
                 "-", "-", "-"});
      continue;
    }
    table.add({it.Daemon.str(), textOf(body, "vm"),
               textOf(body, "failure_domain"), textOf(body, "ticket"),
               textOf(body, "platform_state"), textOf(body, "authority"),
               absl::StrCat(listOf(body, "owned").size()),
               textOf(body, "flows"), membersIn(body, "alive"),
               membersIn(body, "suspect"), membersIn(body, "dead")});
  }
  std::string text = table.str();

  // Each failure domain as reported by the first reachable daemon that lists
  // it.
  std::map<std::string, json> domains;
  for (const json &it : collectElements(replies, "domains"))
    domains.emplace(textOf(it, "id"), it);
  Table domainTable({"DOMAIN", "REGION", "IN SERVICE", "REACHABLE FROM"});
  for (const auto &[id, it] : domains) {
    std::string reachableFrom;
    for (const json &view : collectElements(replies, "domains"))
      if (textOf(view, "id") == id && textOf(view, "reachable") == "true")
        absl::StrAppend(&reachableFrom, reachableFrom.empty() ? "" : ", ",
                        textOf(view, "daemon"));
    domainTable.add({id, textOf(it, "region"), textOf(it, "in_service"),
                     reachableFrom.empty() ? "-" : reachableFrom});
  }
  if (!domains.empty())
    absl::StrAppend(&text, "\n", domainTable.str());
  return makeReport(replies, format, std::move(text));
}

Report reportServers(const std::vector<DaemonReply> &replies,
                     OutputFormat format) {
  std::map<std::string, json> servers;
  for (const json &it : collectElements(replies, "servers")) {
    auto [entry, isNew] = servers.emplace(textOf(it, "id"), it);
    if (!isNew && it.value("owned", false))
      entry->second = it;
  }
  Table table({"SERVER", "SERVICE", "DOMAIN", "MODE", "OWNER", "LIMIT",
               "RUNNING", "QUEUED", "WARM", "EJECTED", "FLOWS"});
  for (const auto &[id, it] : servers)
    table.add({id, textOf(it, "service"), textOf(it, "failure_domain"),
               textOf(it, "mode"), textOf(it, "owner"), textOf(it, "limit"),
               textOf(it, "in_progress"), textOf(it, "queued"),
               textOf(it, "warm"), textOf(it, "ejected"), textOf(it, "flows")});
  return makeReport(replies, format, table.str());
}

Report reportFlows(const std::vector<DaemonReply> &replies,
                   OutputFormat format) {
  Table table({"DAEMON", "FLOW", "SERVICE", "SERVER", "IDLE MS"});
  for (const json &it : collectElements(replies, "flows"))
    table.add({textOf(it, "daemon"), textOf(it, "flow"), textOf(it, "service"),
               textOf(it, "server"), textOf(it, "idle_ms")});
  std::string text = table.str();
  for (const DaemonReply &it : replies)
    if (it.isOk())
      absl::StrAppend(&text, textOf(bodyOf(it), "vm"), ": ",
                      textOf(bodyOf(it), "count"), " flows\n");
  return makeReport(replies, format, std::move(text));
}

Report reportDecisions(const std::vector<DaemonReply> &replies,
                       OutputFormat format) {
  // The clocks of two VMs can't be compared, so decisions are grouped by
  // daemon.
  std::string text;
  size_t count = 0;
  std::string daemon;
  for (const json &it : collectElements(replies, "decisions")) {
    if (textOf(it, "daemon") != daemon) {
      daemon = textOf(it, "daemon");
      absl::StrAppend(&text, daemon, ":\n");
    }
    absl::StrAppend(&text, "  ", textOf(it, "sentence"), "\n");
    ++count;
  }
  if (count == 0)
    text = "no daemon that replied has recorded a decision about this\n";
  Report report = makeReport(replies, format, std::move(text));
  if (count == 0 && report.ExitCode == ExitCodes::Good)
    report.ExitCode = ExitCodes::No;
  return report;
}

Report reportTrace(const std::vector<DaemonReply> &replies,
                   OutputFormat format) {
  std::vector<json> spans = collectElements(replies, "spans");
  std::stable_sort(
      spans.begin(), spans.end(), [](const json &a, const json &b) {
        return numberOf(a, "start_unix_us") < numberOf(b, "start_unix_us");
      });
  Table table({"DAEMON", "SPAN", "PARENT", "NAME", "TOOK US", "RESULT"});
  for (const json &it : spans)
    table.add({textOf(it, "daemon"), textOf(it, "span"), textOf(it, "parent"),
               textOf(it, "name"), textOf(it, "took_us"),
               textOf(it, "result")});
  Report report = makeReport(replies, format, table.str());
  if (spans.empty() && report.ExitCode == ExitCodes::Good)
    report.ExitCode = ExitCodes::No;
  return report;
}

Report reportMetrics(const std::vector<DaemonReply> &replies,
                     OutputFormat format) {
  std::string text;
  for (const DaemonReply &it : replies)
    if (it.isOk())
      absl::StrAppend(&text, "# daemon ", it.Daemon.str(), "\n", it.Body);
  return makeReport(replies, format, std::move(text));
}

Report reportInForce(const std::vector<DaemonReply> &replies,
                     OutputFormat format) {
  std::string text;
  bool everywhere = true;
  for (const DaemonReply &it : replies) {
    if (!it.isOk())
      continue;
    const json body = bodyOf(it);
    const bool here = textOf(body, "in_force") == "true";
    everywhere = everywhere && here;
    absl::StrAppend(&text, textOf(body, "vm"), ": ",
                    here ? "in force" : "not in force", ", highest ticket ",
                    textOf(body, "ticket"), "\n");
  }
  Report report = makeReport(replies, format, std::move(text));
  if (!everywhere && report.ExitCode == ExitCodes::Good)
    report.ExitCode = ExitCodes::No;
  return report;
}

} // namespace balsamrack
