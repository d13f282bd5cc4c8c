#ifndef BALSAMRACK_PUBLISHED_PUBLISHEDMESSAGES_H
#define BALSAMRACK_PUBLISHED_PUBLISHEDMESSAGES_H

#include <array>
#include <vector>

#include "Balsamrack/Published/PublishedState.h"

namespace balsamrack {

/// What a daemon holds of one section.
struct SectionDigest {
  Revision CompleteUpTo;    ///< Complete up to here; zero: nothing.
  Revision LastChange;      ///< See PublishedStore::lastChange().
  uint64_t PresentHash = 0; ///< See PublishedStore::presentHash().
  Revision HistoryFrom;     ///< See PublishedStore::historyFrom().
  uint32_t ObjectCount = 0; ///< How many exist.
  Duration Age{0}; ///< Since the publishing service said to a reader that
                   ///< nothing newer exists.
  uint64_t VerifiedBy = 0;   ///< VmId::hash() of that reader.
  uint32_t VerifierRank = 0; ///< Zero: a regular reader; else one more than its
                             ///< place among its domain's daemons.
};

/// Says what is held here, for a peer to compare.
struct PublishedDigest {
  std::vector<SectionDigest> Digests; ///< One a section, in their order.
  bool Answer = false;                ///< Answers a digest: needs none itself.
  bool Relay = false; ///< Carries a new proof: pass it on within the failure
                      ///< domain.
};

/// What a daemon lacks of one section.
struct SectionRequest {
  Revision After; ///< Held up to here.
  /// See PublishedStore::bucketHashes(); empty when the peer's history reaches
  /// back to After.
  std::vector<uint32_t> BucketHashes;
};

/// Asks a peer for what is lacking here.
struct PublishedRequest {
  std::vector<SectionRequest> Sections; ///< One a section, in their order.
};

/// What a peer lacks, or what has just changed.
struct PublishedUpdate {
  std::vector<PublishedChanges> Changes; ///< At most one a section.
  std::vector<SectionDigest> Digests;    ///< As in a digest.
  bool Relayed = false; ///< Passed on within a failure domain, or an answer to
                        ///< a request: not to be passed on.
};

} // namespace balsamrack

#endif // BALSAMRACK_PUBLISHED_PUBLISHEDMESSAGES_H
