#ifndef BALSAMRACK_PUBLISHED_PUBLISHEDSTATE_H
#define BALSAMRACK_PUBLISHED_PUBLISHEDSTATE_H

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "Balsamrack/Core/Ids.h"
#include "Balsamrack/Core/Time.h"
#include "Balsamrack/World/World.h"

namespace balsamrack {

/// A position in the history of what operators and servers publish: one counter
/// that rises with each change of anything.
using Revision = NumberId<struct RevisionTag>;

/// A service that a route leads to, and its part of the route's new flows.
struct RouteTarget {
  ServiceId Service;   ///< Where new flows go.
  uint32_t Weight = 1; ///< Against the other targets; zero: none.

  friend bool operator==(const RouteTarget &a, const RouteTarget &b) {
    return a.Service == b.Service && a.Weight == b.Weight;
  }
};

/// An address that callers use, and where its new flows go.
struct PublishedRoute {
  Address At;                       ///< What callers connect to.
  std::vector<RouteTarget> Targets; ///< At least one.
  Duration Objective{0};   ///< Latency objective of its requests; zero: none.
  Duration Timeout{0};     ///< Of its requests; zero: not given.
  bool Idempotent = false; ///< Its requests may run more than once: callers
                           ///< repeat them after any failure.
};

/// What operators say of a service, apart from its servers.
struct PublishedService {
  ServiceId Id;             ///< Name.
  double ColdPerSecond = 0; ///< New flows a second that a cold server bears;
                            ///< zero: no figure is given.
};

/// The operators' newest configuration, whole.
struct OperatorConfiguration {
  uint64_t Version = 0;                   ///< The operators' own number.
  std::vector<PublishedRoute> Routes;     ///< All routes.
  std::vector<PublishedService> Services; ///< All services.
  Duration IdleTimeout{0}; ///< A flow that is silent for longer may be
                           ///< forgotten; zero: not given.
};

/// What a backend server publishes of itself.
struct PublishedServer {
  BackendServer Server; ///< Who, where, for which service.
  uint64_t Tag = 0;     ///< Names it on each datagram that is meant for it.
  uint64_t Born = 0;    ///< Tells lifetimes under the same id apart.
  Duration ColdLeft{0}; ///< How much longer it is slow, when written.
};

/// Operators have taken this failure domain out of service.
struct DomainOutOfService {
  DomainId Domain; ///< Which.
};

/// The two parts of what is published; each is read and completed by itself.
enum class PublishedSection {
  Operators, ///< Configuration and failure domains that are out.
  Servers,   ///< Backend servers.
};
/// Number of sections.
constexpr size_t PublishedSections = 2;
/// All sections, in their order.
constexpr std::array<PublishedSection, PublishedSections> AllSections = {
    PublishedSection::Operators, PublishedSection::Servers};

/// Name of a section in lower case. Thread-safe.
const char *sectionName(PublishedSection section);

/// The state of one object. Monostate: it is gone.
using PublishedContent =
    std::variant<std::monostate, std::shared_ptr<const OperatorConfiguration>,
                 std::shared_ptr<const PublishedServer>, DomainOutOfService>;

/// One published object at one revision.
struct PublishedObject {
  PublishedSection Section = PublishedSection::Servers; ///< Where it belongs.
  std::string Name;         ///< Unique within its section.
  Revision At;              ///< When it got this state.
  PublishedContent Content; ///< The state.

  /// True when the object is no longer published. Thread-safe.
  bool isDeleted() const {
    return std::holds_alternative<std::monostate>(Content);
  }
};

/// What happened in one section between two revisions.
struct PublishedChanges {
  PublishedSection Section = PublishedSection::Servers; ///< Which section.
  Revision After; ///< Every change after this one is contained; zero: all
                  ///< objects that exist are contained.
  Revision UpTo;  ///< Up to this one.
  std::vector<PublishedObject> Objects; ///< The newest state of what changed.
  uint32_t BucketCount = 0; ///< Not zero: the list is not by revision, but
                            ///< holds what exists of some buckets.
  std::vector<uint32_t> Buckets = {}; ///< Those: each below BucketCount.
};

} // namespace balsamrack

#endif // BALSAMRACK_PUBLISHED_PUBLISHEDSTATE_H
