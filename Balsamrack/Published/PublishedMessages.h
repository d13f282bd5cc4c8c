#ifndef BALSAMRACK_PUBLISHED_PUBLISHEDMESSAGES_H
#define BALSAMRACK_PUBLISHED_PUBLISHEDMESSAGES_H

#include <array>
#include <vector>

#include "Balsamrack/Published/LoadReports.h"
#include "Balsamrack/Published/PublishedState.h"

namespace balsamrack {

/// Summary of what a daemon holds of one section.
struct SectionDigest {
  Revision
      CompleteUpTo;    ///< Complete up to this revision; zero: nothing is held.
  Revision LastChange; ///< See PublishedStore::lastChange().
  uint64_t PresentHash = 0; ///< See PublishedStore::presentHash().
  Revision HistoryFrom;     ///< See PublishedStore::historyFrom().
  uint32_t ObjectCount = 0; ///< Number of existing objects.
  Duration Age{0}; ///< Time since the publishing service confirmed to a reader
                   ///< that nothing newer exists.
  uint64_t VerifiedBy = 0;   ///< VmId::hash() of that reader.
  uint32_t VerifierRank = 0; ///< Zero for a regular reader; otherwise one more
                             ///< than its rank among the daemons of its domain.
};

/// Tells a peer what the sender holds, for comparison.
struct PublishedDigest {
  std::vector<SectionDigest> Digests; ///< One per section, in order.
  bool Answer = false; ///< Answer to a digest; not to be answered itself.
  bool Relay = false;  ///< Carries a new verification, to be relayed within the
                       ///< failure domain.
  bool Broadcast = false; ///< Sent to most daemons of the failure domain, so
                          ///< those that are behind ask other peers.
  bool Listing = false;   ///< The sender is listing the whole servers' section,
                          ///< so others of its failure domain need not.
  LoadReports Loads{};    ///< Optional: load of the failure domains.
};

/// Request for the missing objects of one section.
struct SectionRequest {
  Revision After; ///< The sender is complete up to this revision.
  /// See PublishedStore::bucketHashes(); empty when the peer's history reaches
  /// back to After.
  std::vector<uint32_t> BucketHashes;
};

/// Requests missing objects from a peer.
struct PublishedRequest {
  std::vector<SectionRequest> Sections; ///< One per section, in order.
};

/// Answer to a request, or a recent change.
struct PublishedUpdate {
  std::vector<PublishedChanges> Changes; ///< At most one per section.
  std::vector<SectionDigest> Digests;    ///< As in PublishedDigest.
  bool Relayed = false; ///< Relayed within a failure domain, or an answer to a
                        ///< request; not to be relayed again.
};

} // namespace balsamrack

#endif // BALSAMRACK_PUBLISHED_PUBLISHEDMESSAGES_H
