#include "StandIns/Fabric.h"

#include <chrono>
#include <utility>

#include "StandIns/HttpClient.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include <nlohmann/json.hpp>

namespace balsamrack::standins {

namespace {

using Json = nlohmann::json;

/// Longer than any timeout of the system, so that it never ends a request
/// first.
constexpr auto ForwardTimeout = std::chrono::seconds(60);
constexpr const char *CallerAddressHeader = "X-Caller-Address";

// Header fields of a single connection, which are not forwarded.
bool isHopByHop(const std::string &name) {
  for (const char *field : {"Connection", "Host", "Content-Length",
                            "Transfer-Encoding", "Keep-Alive", "Expect"})
    if (absl::EqualsIgnoreCase(name, field))
      return true;
  return false;
}

HeaderList endToEndHeaders(const HeaderList &headers) {
  HeaderList kept;
  for (const auto &header : headers)
    if (!isHopByHop(header.first))
      kept.push_back(header);
  return kept;
}

} // namespace

std::vector<Fabric::Daemon> Fabric::shuffledDaemons() {
  std::lock_guard<std::mutex> guard(Lock);
  std::vector<Daemon> daemons = Daemons;
  for (size_t i = daemons.size(); i > 1; --i)
    std::swap(daemons[i - 1], daemons[Random.below(i)]);
  return daemons;
}

Answer Fabric::forward(uint16_t servicePort, const Message &message) {
  Message m = message;
  m.Headers = endToEndHeaders(message.Headers);
  m.Headers.emplace_back(
      "Forwarded",
      absl::StrCat("for=\"", headerOf(m.Headers, CallerAddressHeader), "\""));
  for (const Daemon &d : shuffledDaemons()) {
    Address to{d.Ip, static_cast<uint16_t>(servicePort + d.PortOffset)};
    auto answer = sendHttp(to, m, ForwardTimeout);
    if (answer.ok()) {
      answer->Headers = endToEndHeaders(answer->Headers);
      return *std::move(answer);
    }
    // Only a packet that was not sent may be sent to another daemon.
    if (!absl::IsUnavailable(answer.status())) {
      Answer noAnswer = jsonAnswer(502, "{\"fabric\":\"no answer\"}");
      noAnswer.Headers.emplace_back("X-Fabric", "sent");
      return noAnswer;
    }
  }
  Answer noDaemon = jsonAnswer(502, "{\"fabric\":\"no daemon\"}");
  noDaemon.Headers.emplace_back("X-Fabric", "not-sent");
  return noDaemon;
}

Answer Fabric::handleControl(const Message &message) {
  Json list = Json::parse(message.Body, nullptr, false);
  if (message.Method != "POST" || !list.is_array())
    return jsonAnswer(400, "{}");
  std::vector<Daemon> daemons;
  for (const auto &d : list)
    daemons.push_back(
        {d.value("ip", "127.0.0.1"), d.value("port_offset", uint16_t(0))});
  std::lock_guard<std::mutex> guard(Lock);
  Daemons = std::move(daemons);
  return jsonAnswer(200, "{}");
}

} // namespace balsamrack::standins
