#ifndef BALSAMRACK_MEMBERSHIP_OWNERSHIPMAP_H
#define BALSAMRACK_MEMBERSHIP_OWNERSHIPMAP_H

#include <map>
#include <optional>
#include <vector>

#include "Balsamrack/Membership/MemberView.h"

namespace balsamrack {

/// Assigns backend servers to owners by rendezvous hashing (Thaler, Ravishankar
/// 1998) over the live daemons of the server's domain. Leaving daemons are
/// considered only if no other one is live. Immutable; thread-safe.
class OwnershipMap {
public:
  /// Creates a map without daemons. Thread-safe.
  OwnershipMap() = default;
  /// Creates a map of the live daemons in \p members. Thread-safe.
  static OwnershipMap create(const MemberMap &members);

  /// Returns the owner of \p server in \p domain; nothing if no daemon of the
  /// domain is live. Thread-safe.
  std::optional<EntryVm> ownerOf(const ServerId &server,
                                 const DomainId &domain) const;
  /// Returns the next owner of \p server if its owner fails. Thread-safe.
  std::optional<EntryVm> successorOf(const ServerId &server,
                                     const DomainId &domain) const;
  /// Returns the live daemons of \p domain, best rank for \p server first,
  /// leaving ones after the others. While a server moves, the next in rank may
  /// still own it. Thread-safe.
  std::vector<EntryVm> ranked(const ServerId &server,
                              const DomainId &domain) const;
  /// Returns the number of live daemons that may own servers of \p domain.
  /// Thread-safe.
  size_t candidates(const DomainId &domain) const;

private:
  /// The live daemons of a domain.
  struct Candidates {
    std::vector<EntryVm> Staying; ///< Ordered by id.
    std::vector<EntryVm> Leaving; ///< Ordered by id.
  };
  const std::vector<EntryVm> &candidatesOf(const DomainId &domain) const;

  std::map<DomainId, Candidates> ByDomain; ///< By domain.
};

} // namespace balsamrack

#endif // BALSAMRACK_MEMBERSHIP_OWNERSHIPMAP_H
