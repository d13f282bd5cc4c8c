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

/// Revision of the published state: a single counter that increases with each
/// change.
using Revision = NumberId<struct RevisionTag>;

/// A target service of a route and its share of the route's new flows.
struct RouteTarget {
  ServiceId Service;   ///< Service that receives new flows.
  uint32_t Weight = 1; ///< Relative to the other targets; zero: no new flows.

  friend bool operator==(const RouteTarget &a, const RouteTarget &b) {
    return a.Service == b.Service && a.Weight == b.Weight;
  }
};

/// Priority of a route that publishes none; a lower number is more urgent.
constexpr uint32_t LowestPriority = 255;

/// An address that callers connect to, and the targets of its new flows.
struct PublishedRoute {
  Address At;                       ///< Address that callers connect to.
  std::vector<RouteTarget> Targets; ///< At least one.
  Duration Objective{0};   ///< Latency objective of its requests; zero: none.
  Duration Timeout{0};     ///< Timeout of its requests; zero: not set.
  bool Idempotent = false; ///< Its requests may be executed more than once:
                           ///< callers retry them after any failure.
  uint32_t Priority = LowestPriority; ///< Zero is the most urgent.
};

/// Operators' settings for a service, apart from its servers.
struct PublishedService {
  ServiceId Id; ///< Name.
  double ColdPerSecond =
      0; ///< New flows per second that a cold server can take; zero: not set.
};

/// The operators' complete current configuration.
struct OperatorConfiguration {
  uint64_t Version = 0; ///< Version number assigned by the operators.
  std::vector<PublishedRoute> Routes;     ///< All routes.
  std::vector<PublishedService> Services; ///< All services.
  Duration IdleTimeout{
      0}; ///< A flow that is idle for longer may be dropped; zero: not set.
};

/// Entry that a backend server publishes about itself.
struct PublishedServer {
  BackendServer Server; ///< Id, address and service.
  uint64_t Tag = 0; ///< Identifies it in each datagram that is addressed to it.
  uint64_t Born = 0; ///< Distinguishes successive instances with the same id.
  Duration ColdLeft{0}; ///< Remaining warm-up time when the entry was written.
};

/// A failure domain that operators have taken out of service.
struct DomainOutOfService {
  DomainId Domain; ///< The domain.
};

/// The two sections of the published state, which are read and completed
/// independently.
enum class PublishedSection {
  Operators, ///< Configuration and failure domains out of service.
  Servers,   ///< Backend servers.
};
/// Number of sections.
constexpr size_t PublishedSections = 2;
/// All sections, in their order.
constexpr std::array<PublishedSection, PublishedSections> AllSections = {
    PublishedSection::Operators, PublishedSection::Servers};

/// Returns the lower-case name of \p section. Thread-safe.
const char *sectionName(PublishedSection section);

/// Content of one object. Monostate: deleted.
using PublishedContent =
    std::variant<std::monostate, std::shared_ptr<const OperatorConfiguration>,
                 std::shared_ptr<const PublishedServer>, DomainOutOfService>;

/// One published object at one revision.
struct PublishedObject {
  PublishedSection Section =
      PublishedSection::Servers; ///< Section of the object.
  std::string Name;              ///< Unique within its section.
  Revision At;                   ///< Revision of its last change.
  PublishedContent Content;      ///< Content at that revision.

  /// Returns whether the object has been deleted. Thread-safe.
  bool isDeleted() const {
    return std::holds_alternative<std::monostate>(Content);
  }
};

/// Changes in one section between two revisions.
struct PublishedChanges {
  PublishedSection Section = PublishedSection::Servers; ///< The section.
  Revision After; ///< Contains every change after this revision; zero: contains
                  ///< all existing objects, or some of them; see IsPartial.
  Revision UpTo;  ///< Last revision covered.
  std::vector<PublishedObject>
      Objects;              ///< Changed objects in their newest state.
  uint32_t BucketCount = 0; ///< Not zero: not a list by revision, but the
                            ///< existing objects of some of this many buckets.
  std::vector<uint32_t> Buckets =
      {}; ///< Those buckets, each below BucketCount.
  bool IsPartial =
      false; ///< Some of the existing objects; says nothing about others.
             ///< Only read from the source, not sent to peers.
};

} // namespace balsamrack

#endif // BALSAMRACK_PUBLISHED_PUBLISHEDSTATE_H
