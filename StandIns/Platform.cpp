#include "StandIns/Platform.h"

#include <algorithm>
#include <chrono>

#include "absl/strings/str_cat.h"
#include <nlohmann/json.hpp>

namespace balsamrack::standins {

namespace {

using Json = nlohmann::json;

constexpr size_t MaxValueBytes = 1 << 20;
constexpr uint64_t MaxWaitMs = 60'000;
constexpr auto PollPeriod = std::chrono::milliseconds(50);

Answer statusAnswer(const absl::Status &status) {
  if (status.ok())
    return jsonAnswer(200, "{}");
  return jsonAnswer(400, Json{{"error", status.message()}}.dump());
}

} // namespace

bool Platform::isDown() const {
  std::lock_guard<std::mutex> guard(Lock);
  return CurrentMode == Mode::Down;
}

absl::Status Platform::addTicket(const std::string &text) {
  if (text.size() > MaxValueBytes)
    return absl::InvalidArgumentError("a value is at most 1 MiB");
  Json ticket = Json::parse(text, nullptr, false);
  if (!ticket.is_object() || !ticket["ticket"].is_number_unsigned())
    return absl::InvalidArgumentError("not a ticket");
  StoredTicket stored{text, Time.now(), {}};
  // The contents of objects are checked by the daemons, not by the platform.
  for (const auto &object : ticket["objects"])
    stored.Objects.push_back(object.is_object()
                                 ? object.value("kind", Json()).dump() + "/" +
                                       object.value("id", Json()).dump()
                                 : "none");
  uint64_t number = ticket["ticket"];
  std::lock_guard<std::mutex> guard(Lock);
  if (number <= HighestTicket)
    return absl::InvalidArgumentError(
        absl::StrCat("ticket ", number, " is not above ", HighestTicket));
  HighestTicket = number;
  Tickets.emplace(number, std::move(stored));
  Changed.notify_all();
  return absl::OkStatus();
}

// Returns the visible tickets, without those whose objects all have a later
// state in another visible ticket. All tickets stay stored, so that an older
// state can be shown again.
std::set<uint64_t> Platform::visibleTicketNumbers() const {
  std::set<uint64_t> kept;
  std::set<std::string> later;
  for (auto it = Tickets.rbegin(); it != Tickets.rend(); ++it) {
    if (!isVisible(it->first, it->second))
      continue;
    bool needed = it->second.Objects.empty();
    for (const auto &object : it->second.Objects)
      needed |= later.insert(object).second;
    if (needed)
      kept.insert(it->first);
  }
  return kept;
}

absl::Status Platform::setVms(const std::string &text) {
  Json list = Json::parse(text, nullptr, false);
  if (!list.is_array() || text.size() > MaxValueBytes)
    return absl::InvalidArgumentError("not a VM list");
  std::lock_guard<std::mutex> guard(Lock);
  uint64_t version = VmLists.empty() ? 1 : VmLists.rbegin()->first + 1;
  VmLists.emplace(version, StoredVmList{list.dump(), Time.now()});
  Changed.notify_all();
  return absl::OkStatus();
}

absl::Status Platform::setMode(const std::string &text) {
  Json mode = Json::parse(text, nullptr, false);
  if (!mode.is_object())
    return absl::InvalidArgumentError("not a mode");
  std::string name = mode.value("mode", "");
  std::lock_guard<std::mutex> guard(Lock);
  if (name == "up")
    CurrentMode = Mode::Up;
  else if (name == "down")
    CurrentMode = Mode::Down;
  else if (name == "stale")
    CurrentMode = Mode::Stale;
  else if (name == "lag")
    CurrentMode = Mode::Lag;
  else
    return absl::InvalidArgumentError("mode is up, down, stale or lag");
  LagTime = std::chrono::milliseconds(mode.value("lag_ms", 0));
  StaleTicket = mode.value("stale_at", HighestTicket);
  StaleListVersion = VmLists.empty() ? 0 : VmLists.rbegin()->first;
  Changed.notify_all();
  return absl::OkStatus();
}

bool Platform::isVisible(uint64_t ticket, const StoredTicket &stored) const {
  if (CurrentMode == Mode::Stale)
    return ticket <= StaleTicket;
  return CurrentMode != Mode::Lag || stored.StoredAt + LagTime <= Time.now();
}

uint64_t Platform::highestVisibleTicket() const {
  for (auto it = Tickets.rbegin(); it != Tickets.rend(); ++it)
    if (isVisible(it->first, it->second))
      return it->first;
  return 0;
}

uint64_t Platform::visibleListVersion() const {
  if (CurrentMode == Mode::Stale)
    return StaleListVersion;
  for (auto it = VmLists.rbegin(); it != VmLists.rend(); ++it)
    if (CurrentMode != Mode::Lag || it->second.StoredAt + LagTime <= Time.now())
      return it->first;
  return 0;
}

template <class Ready>
void Platform::waitForChange(std::unique_lock<std::mutex> &lock,
                             uint64_t waitMs, Ready ready) {
  auto until = std::chrono::steady_clock::now() +
               std::chrono::milliseconds(std::min(waitMs, MaxWaitMs));
  // In mode lag the visible state changes without a notification, so it is
  // polled.
  while (!ready() && CurrentMode != Mode::Down &&
         std::chrono::steady_clock::now() < until)
    Changed.wait_for(lock, PollPeriod);
}

std::string Platform::ticketPage(uint64_t after) const {
  Json page{{"highest", highestVisibleTicket()}, {"tickets", Json::array()}};
  size_t bytes = 0;
  for (uint64_t number : visibleTicketNumbers()) {
    const std::string &text = Tickets.at(number).Text;
    if (number <= after)
      continue;
    bytes += text.size();
    if (bytes > MaxValueBytes && !page["tickets"].empty())
      break;
    page["tickets"].push_back(Json::parse(text));
  }
  return page.dump();
}

Answer Platform::readTickets(const std::string &target) {
  uint64_t after = numericQueryParameter(target, "after", 0);
  std::unique_lock<std::mutex> lock(Lock);
  ++Calls.Tickets;
  waitForChange(lock, numericQueryParameter(target, "wait_ms", 0),
                [&] { return highestVisibleTicket() > after; });
  if (CurrentMode == Mode::Down)
    return jsonAnswer(503, "{}");
  return jsonAnswer(200, ticketPage(after));
}

Answer Platform::readVms(const std::string &target) {
  uint64_t after = numericQueryParameter(target, "after", 0);
  std::unique_lock<std::mutex> lock(Lock);
  ++Calls.Vms;
  waitForChange(lock, numericQueryParameter(target, "wait_ms", 0),
                [&] { return visibleListVersion() > after; });
  if (CurrentMode == Mode::Down)
    return jsonAnswer(503, "{}");
  uint64_t version = visibleListVersion();
  std::string vms = version == 0 ? "[]" : VmLists.at(version).Text;
  return jsonAnswer(
      200, absl::StrCat("{\"version\":", version, ",\"vms\":", vms, "}"));
}

Answer Platform::serveReader(const Message &message) {
  std::string path = pathOf(message.Target);
  if (message.Method == "GET" && path == "/v1/tickets")
    return readTickets(message.Target);
  if (message.Method == "GET" && path == "/v1/vms")
    return readVms(message.Target);
  std::lock_guard<std::mutex> guard(Lock);
  ++Calls.Others;
  return jsonAnswer(message.Method == "GET" ? 404 : 405, "{}");
}

std::string Platform::countsJson() const {
  std::lock_guard<std::mutex> guard(Lock);
  return Json{{"calls", Calls.Tickets + Calls.Vms + Calls.Others},
              {"tickets", Calls.Tickets},
              {"vms", Calls.Vms},
              {"others", Calls.Others}}
      .dump();
}

Answer Platform::serveOperator(const Message &message) {
  std::string path = pathOf(message.Target);
  if (message.Method == "GET" && (path == "/counts" || path == "/v1/counts"))
    return jsonAnswer(200, countsJson());
  if (message.Method == "POST" && path == "/tickets")
    return statusAnswer(addTicket(message.Body));
  if (message.Method == "POST" && path == "/vms")
    return statusAnswer(setVms(message.Body));
  if (message.Method == "POST" && path == "/mode")
    return statusAnswer(setMode(message.Body));
  return jsonAnswer(404, "{}");
}

} // namespace balsamrack::standins
