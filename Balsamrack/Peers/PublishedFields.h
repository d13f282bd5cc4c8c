#ifndef BALSAMRACK_PEERS_PUBLISHEDFIELDS_H
#define BALSAMRACK_PEERS_PUBLISHEDFIELDS_H

#include <cmath>
#include <memory>
#include <utility>

#include "Balsamrack/Peers/FieldArchive.h"
#include "Balsamrack/Peers/LoadReportFields.h"
#include "Balsamrack/Peers/RouteGroups.h"
#include "Balsamrack/Published/PublishedLimits.h"
#include "Balsamrack/Published/PublishedMessages.h"

namespace balsamrack {

// Fields of the published state; see PeerFields.h.

/// Kind of a published object on the wire. Number 1 was a configuration with
/// ungrouped routes; a daemon that supports only that form rejects the message
/// and reads the publishing service itself.
enum class PublishedKind {
  Deleted = 0,
  Server = 2,
  DomainOutOfService = 3,
  Configuration = 4
};

/// The kind of \p content on the wire. Thread-safe.
inline PublishedKind kindOf(const PublishedContent &content) {
  if (std::holds_alternative<std::monostate>(content))
    return PublishedKind::Deleted;
  if (std::holds_alternative<DomainOutOfService>(content))
    return PublishedKind::DomainOutOfService;
  using Server = std::shared_ptr<const PublishedServer>;
  return std::holds_alternative<Server>(content) ? PublishedKind::Server
                                                 : PublishedKind::Configuration;
}

template <class Ar>
void fields(Ar &ar, typename Ar::template Ref<RouteTarget> m) {
  ar("s", m.Service);
  ar("w", m.Weight);
}

template <class Ar>
void fields(Ar &ar, typename Ar::template Ref<RouteGroup> m) {
  ar("t", m.Common.Targets);
  ar("l", m.Common.Objective);
  ar("d", m.Common.Timeout);
  ar("m", m.Common.Idempotent);
  ar("y", m.Common.Priority);
  ar.bytes("a", m.Addresses);
}

template <class Ar>
void fields(Ar &ar, typename Ar::template Ref<PublishedService> m) {
  // Frames have no floating point numbers; thousandths are precise enough.
  constexpr double Thousandths = 1000;
  auto cold =
      static_cast<uint64_t>(std::llround(m.ColdPerSecond * Thousandths));
  ar("i", m.Id);
  ar("c", cold);
  if constexpr (Ar::Reads)
    m.ColdPerSecond = static_cast<double>(cold) / Thousandths;
}

template <class Ar>
void fields(Ar &ar, typename Ar::template Ref<OperatorConfiguration> m) {
  ar("v", m.Version);
  if constexpr (Ar::Reads) {
    std::vector<RouteGroup> groups;
    ar("g", groups);
    auto routes = ungroupRoutes(groups);
    if (routes.ok())
      m.Routes = *std::move(routes);
    else
      ar.fail("g");
  } else {
    ar("g", groupRoutes(m.Routes));
  }
  ar("s", m.Services);
  ar("i", m.IdleTimeout);
  if constexpr (Ar::Reads)
    clampToLimits(m);
}

template <class Ar>
void fields(Ar &ar, typename Ar::template Ref<PublishedServer> m) {
  ar("s", m.Server);
  ar("t", m.Tag);
  ar("b", m.Born);
  ar("c", m.ColdLeft);
}

template <class Ar>
void fields(Ar &ar, typename Ar::template Ref<DomainOutOfService> m) {
  ar("d", m.Domain);
}

/// Reads or writes a shared state of type \p T.
template <class T, class Ar>
void sharedState(Ar &ar, typename Ar::template Ref<PublishedContent> m) {
  if constexpr (Ar::Reads) {
    auto state = std::make_shared<T>();
    ar("o", *state);
    m = std::shared_ptr<const T>(std::move(state));
  } else {
    ar("o", *std::get<std::shared_ptr<const T>>(m));
  }
}

template <class Ar>
void fields(Ar &ar, typename Ar::template Ref<PublishedObject> m) {
  PublishedKind kind = kindOf(m.Content);
  ar.oneOf("p", m.Section, PublishedSection::Servers);
  ar("n", m.Name);
  ar("r", m.At);
  ar.oneOf("k", kind, PublishedKind::Configuration);
  switch (kind) {
  case PublishedKind::Deleted:
    if constexpr (Ar::Reads)
      m.Content = std::monostate();
    return;
  case PublishedKind::Configuration:
    return sharedState<OperatorConfiguration>(ar, m.Content);
  case PublishedKind::Server: {
    sharedState<PublishedServer>(ar, m.Content);
    if constexpr (Ar::Reads) {
      // The server's id is the object's name and is not sent twice.
      auto named = std::make_shared<PublishedServer>(
          *std::get<std::shared_ptr<const PublishedServer>>(m.Content));
      named->Server.Id = ServerId(m.Name);
      // Treated as the decoder of the publishing service treats it, and not as
      // an error, so that one entry does not block the others.
      if (isWithinLimits(*named))
        m.Content = std::shared_ptr<const PublishedServer>(std::move(named));
      else
        m.Content = std::monostate();
    }
    return;
  }
  case PublishedKind::DomainOutOfService:
    if constexpr (Ar::Reads)
      m.Content = DomainOutOfService();
    ar("o", std::get<DomainOutOfService>(m.Content));
    return;
  }
  // Reached only when reading a number that is no kind; writing always has a
  // valid one.
  if constexpr (Ar::Reads)
    ar.fail("k");
}

template <class Ar>
void fields(Ar &ar, typename Ar::template Ref<PublishedChanges> m) {
  ar.oneOf("p", m.Section, PublishedSection::Servers);
  ar("f", m.After);
  ar("a", m.UpTo);
  ar("o", m.Objects);
  ar("c", m.BucketCount);
  ar("b", m.Buckets);
}

template <class Ar>
void fields(Ar &ar, typename Ar::template Ref<SectionDigest> m) {
  ar("a", m.CompleteUpTo);
  ar("l", m.LastChange);
  ar("p", m.PresentHash);
  ar("h", m.HistoryFrom);
  ar("n", m.ObjectCount);
  ar("g", m.Age);
  ar("b", m.VerifiedBy);
  ar("k", m.VerifierRank);
}

template <class Ar>
void fields(Ar &ar, typename Ar::template Ref<PublishedDigest> m) {
  ar("m", m.Digests);
  ar("a", m.Answer);
  ar("r", m.Relay);
  ar("b", m.Broadcast);
  ar("l", m.Listing);
  fields(ar, m.Loads);
}

template <class Ar>
void fields(Ar &ar, typename Ar::template Ref<SectionRequest> m) {
  ar("a", m.After);
  ar("b", m.BucketHashes);
}

template <class Ar>
void fields(Ar &ar, typename Ar::template Ref<PublishedRequest> m) {
  ar("s", m.Sections);
}

template <class Ar>
void fields(Ar &ar, typename Ar::template Ref<PublishedUpdate> m) {
  ar("c", m.Changes);
  ar("m", m.Digests);
  ar("r", m.Relayed);
}

} // namespace balsamrack

#endif // BALSAMRACK_PEERS_PUBLISHEDFIELDS_H
