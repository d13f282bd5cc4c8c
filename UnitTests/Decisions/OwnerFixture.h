#ifndef BALSAMRACK_UNITTESTS_DECISIONS_OWNERFIXTURE_H
#define BALSAMRACK_UNITTESTS_DECISIONS_OWNERFIXTURE_H

#include <map>
#include <memory>
#include <vector>

#include "Balsamrack/Core/Random.h"
#include "Balsamrack/Decisions/ServiceOwner.h"
#include "Balsamrack/Replay/TraceCodec.h"

namespace balsamrack {

/// An owner of some servers, driven event by event, that remembers what it did.
/// Not thread-safe.
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

  /// Gives an event, and remembers the actions.
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
  /// Moves the time on and wakes the owner.
  void pass(Duration time) {
    Now += time;
    give(Ticked());
  }
  /// A request of caller 1 on server 1, unless changed before it is given.
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
  /// The link's word on a dispatch.
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
  /// Warm answers that make a server's pace known, with some to spare.
  static constexpr uint64_t WarmAnswers = 40;

  /// Answers requests one by one until server 1 uses all its slots and its pace
  /// is known.
  void warm() {
    // Ramped up, and then for long enough that its warm answers are known.
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
  /// The ending of a request; fails the test's expectations when there is none.
  Outcome ending(uint64_t id) const {
    auto it = Ended.find(id);
    return it == Ended.end() ? Outcome() : it->second;
  }

  TimePoint Now{Duration(1'000'000)};
  ServersChanged Config;
  std::unique_ptr<ServiceOwner> Owner;
  std::vector<std::string> *Journal = nullptr; // Gets all actions as lines.
  std::vector<uint64_t> Dispatched;
  std::vector<uint64_t> Cancelled;
  std::map<uint64_t, Outcome> Ended;
  std::map<uint64_t, uint32_t> Endings;
};

} // namespace balsamrack

#endif // BALSAMRACK_UNITTESTS_DECISIONS_OWNERFIXTURE_H
