#ifndef BALSAMRACK_PUBLISHED_PUBLISHEDSTORE_H
#define BALSAMRACK_PUBLISHED_PUBLISHEDSTORE_H

#include <array>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "Balsamrack/Published/PublishedState.h"

namespace balsamrack {

/// All that is known of what operators and servers publish, merged from reads
/// and from peers: the highest revision wins for each object, and nothing ever
/// goes back within one life. Order, repetition and gaps of delivery don't
/// matter. Deterministic. Not thread-safe.
///
/// Failure guarded against: a daemon that was cut off brings back an object
/// that is long gone (a dropped route, a server whose address now belongs to
/// another service). Each section knows up to which revision it is complete; an
/// unknown object that is older than that must have gone, and stays away.
class PublishedStore {
public:
  /// Tombstones of removed objects are kept up to this number, so that a peer
  /// that lags can be answered with a list of changes; one that lags further
  /// compares buckets. More are kept only beyond a gap, until it is filled.
  static constexpr size_t MaxTombstones = 1000;
  /// Most buckets that a section's objects are compared by.
  static constexpr uint32_t MaxBuckets = 1024;

  /// Merges \p changes; returns the objects whose state changed, as they are
  /// now. An object that disappears because a complete listing lacks it is
  /// among them.
  std::vector<PublishedObject> merge(const PublishedChanges &changes);

  /// Up to which revision \p section is completely known; zero: not at all.
  Revision completeRevision(PublishedSection section) const {
    return contentOf(section).CompleteUpTo;
  }
  /// No change in \p section after this one is known, up to completeRevision().
  /// Not always a change that is held: a listing tells what exists, not when
  /// the last object was removed, so it counts as a change itself.
  Revision lastChange(PublishedSection section) const {
    return contentOf(section).LastChange;
  }
  /// A peer knows that nothing in \p section has changed after \p lastChange,
  /// up to \p as, and holds objects with \p presentHash. When \p section is
  /// complete here up to \p lastChange, or the same objects are held, it is
  /// complete up to \p as; true then. Without the second way each daemon that
  /// starts, and has only listed, would send everything to all others.
  bool extendCompleteness(PublishedSection section, Revision lastChange,
                          Revision as, uint64_t presentHash);
  /// Hash of the names and revisions of the objects of \p section that exist.
  uint64_t presentHash(PublishedSection section) const {
    return contentOf(section).PresentHash;
  }
  /// Changes after this revision are known, those of removed objects too;
  /// whoever holds less compares buckets.
  Revision historyFrom(PublishedSection section) const {
    return contentOf(section).HistoryFrom;
  }
  /// Number of objects of \p section that exist.
  size_t objectCount(PublishedSection section) const {
    return contentOf(section).ObjectCount;
  }
  /// Hashes of the objects of \p section that exist, in \p count buckets by
  /// the hash of their names. Two holders of a section send each other only
  /// what is in buckets that differ, whatever their histories know.
  /// Precondition: isValidBucketCount(count).
  std::vector<uint32_t> bucketHashes(PublishedSection section,
                                     uint32_t count) const;
  /// What exists in buckets whose hashes differ from \p theirs, from bucket
  /// \p first on, until there are \p most objects. Precondition:
  /// isValidBucketCount(theirs.size()).
  PublishedChanges differencesFrom(PublishedSection section,
                                   const std::vector<uint32_t> &theirs,
                                   uint32_t first, size_t most) const;
  /// True for a power of two up to MaxBuckets.
  static bool isValidBucketCount(size_t count) {
    return count > 0 && count <= MaxBuckets && (count & (count - 1)) == 0;
  }
  /// True when all sections are completely known up to some revision.
  bool isComplete() const;
  /// What a holder of \p section up to \p after lacks.
  PublishedChanges changesAfter(PublishedSection section, Revision after) const;
  /// The objects of \p section that exist, by name.
  std::vector<PublishedObject> objects(PublishedSection section) const;

private:
  /// What is held of one section.
  struct SectionContent {
    Revision CompleteUpTo; ///< Nothing up to here is unknown.
    Revision LastChange;   ///< See lastChange().
    Revision HistoryFrom;  ///< Objects that went up to here may not be known.
    std::map<std::string, PublishedObject> Objects;  ///< Gone ones included.
    uint64_t PresentHash = 0;                        ///< See presentHash().
    size_t ObjectCount = 0;                          ///< See objectCount().
    std::array<uint64_t, MaxBuckets> BucketHashes{}; ///< Present, by bucket.
    std::deque<std::string>
        Tombstones; ///< Names of gone objects, oldest first.
  };

  const SectionContent &contentOf(PublishedSection section) const {
    return Sections[static_cast<size_t>(section)];
  }
  static void addToHashes(SectionContent &in, const PublishedObject &object);
  static void removeFromHashes(SectionContent &in,
                               const PublishedObject &object);
  static void toggleHash(SectionContent &in, const PublishedObject &object);
  static void remove(SectionContent &in, PublishedObject &object, Revision at);
  static bool apply(SectionContent &into, const PublishedObject &object);
  static void dropOldTombstones(SectionContent &from);

  std::array<SectionContent, PublishedSections> Sections; ///< By section.
};

} // namespace balsamrack

#endif // BALSAMRACK_PUBLISHED_PUBLISHEDSTORE_H
