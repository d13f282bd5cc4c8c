#ifndef BALSAMRACK_UNITTESTS_DECISIONS_OWNERFIXTURE_H
#define BALSAMRACK_UNITTESTS_DECISIONS_OWNERFIXTURE_H

#include <map>
#include <memory>
#include <vector>

#include "Balsamrack/Core/Random.h"
#include "Balsamrack/Decisions/ServiceOwner.h"
#include "Balsamrack/Replay/TraceCodec.h"

namespace balsamrack {

/// Drives a ServiceOwner event by event and records its actions. Not
/// thread-safe.
class OwnerFixture {
public:
  explicit OwnerFixture(OwnerSettings settings = OwnerSettings(),
                        uint32_t servers = 1)
      : Owner(ServiceOwner::create(settings, ServiceId("booking"), 1).value()) {
    Config.Settings.Id = ServiceId("booking");
    Config.Ticket.Value = 1;
    for (uint32_t n = 1; n <= servers; ++n) {
      OwnedServer owned;
      owned.Server.Id = ServerId("booking-" + std::to_string(n));
      Config.Servers.push_back(owned);
    }
    give(AuthorityChanged{true});
    give(Config);
  }

  /// Passes \p event to the owner and records the actions.
  void give(const OwnerEvent &event) {
    for (const OwnerAction &action : Owner->step(Now, event)) {
      if (Journal != nullptr)
        Journal->push_back(encodeActionLine({"owner", Now, action}));
      if (const auto *d = std::get_if<StartDispatch>(&action))
        Dispatched.push_back(d->Request.Value);
      if (const auto *c = std::get_if<CancelDispatch>(&action))
        Cancelled.push_back(c->Request.Value);
      if (const auto *e = std::get_if<EndRequest>(&action)) {
        ++Endings[e->Result.Request.Value];
        Ended[e->Result.Request.Value] = e->Result;
      }
    }
  }
  /// Advances the time by \p time and sends a Ticked event.
  void pass(Duration time) {
    Now += time;
    give(Ticked());
  }
  /// Returns a request of caller 1 for server 1.
  static RequestArrived request(uint64_t id) {
    RequestArrived event;
    event.Head.Request.Value = id;
    event.Head.Flow.Value = id;
    event.Head.Caller.Value = 1;
    event.Head.Kind = Semantics::RunOnce;
    event.Head.Remaining = Duration(1'000'000);
    event.Server = ServerId("booking-1");
    return event;
  }
  /// Reports the end of the dispatch of request \p id.
  void end(uint64_t id, DispatchOutcome how, Duration took = Duration(50'000),
           const std::string &instance = "a") {
    DispatchEnded event;
    event.Request.Value = id;
    event.How = how;
    event.Took = took;
    event.HttpStatus = 200;
    if (how == DispatchOutcome::Answered)
      event.Instance = InstanceId(instance);
    give(event);
  }
  /// Number of warm answers after which a server's answer time is known, with
  /// some margin.
  static constexpr uint64_t WarmAnswers = 40;

  /// Answers requests one at a time until server 1 uses all its slots and its
  /// answer time is known.
  void warm() {
    // Continues after the ramp until enough warm answers were recorded.
    uint64_t id = 9000;
    for (uint64_t last = 0; last == 0 || id < last; ++id) {
      give(request(id));
      Now += Duration(200'000);
      end(id, DispatchOutcome::Answered);
      if (last == 0 && Owner->report(Now)[0].Warm)
        last = id + WarmAnswers;
    }
    Dispatched.clear();
  }
  /// Returns the outcome of request \p id, or a default one if it has not
  /// ended.
  Outcome ending(uint64_t id) const {
    auto it = Ended.find(id);
    return it == Ended.end() ? Outcome() : it->second;
  }

  TimePoint Now{Duration(1'000'000)};
  ServersChanged Config;
  std::unique_ptr<ServiceOwner> Owner;
  std::vector<std::string> *Journal = nullptr; // Receives action lines.
  std::vector<uint64_t> Dispatched;
  std::vector<uint64_t> Cancelled;
  std::map<uint64_t, Outcome> Ended;
  std::map<uint64_t, uint32_t> Endings;
};

} // namespace balsamrack

#endif // BALSAMRACK_UNITTESTS_DECISIONS_OWNERFIXTURE_H
