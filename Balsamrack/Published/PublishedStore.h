#ifndef BALSAMRACK_PUBLISHED_PUBLISHEDSTORE_H
#define BALSAMRACK_PUBLISHED_PUBLISHEDSTORE_H

#include <array>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "Balsamrack/Published/PublishedState.h"

namespace balsamrack {

/// State that operators and servers publish, merged from reads and from peers.
/// The highest revision of each object wins, and no object returns to an
/// earlier revision while the process runs. Updates may be reordered, repeated
/// or lost. Deterministic. Not thread-safe.
///
/// A daemon that returns from a partition must not restore deleted objects,
/// such as a dropped route, or a server whose address now belongs to another
/// service. Each section therefore records up to which revision it is complete:
/// an unknown object with an older revision must have been deleted and is
/// ignored.
class PublishedStore {
public:
  /// Maximum number of tombstones of deleted objects. With them, a peer that
  /// lags can be sent a list of changes; one that lags further compares
  /// buckets. More are kept only for revisions beyond a gap, until it is
  /// filled.
  static constexpr size_t MaxTombstones = 1000;
  /// Maximum number of buckets by which a section's objects are compared.
  static constexpr uint32_t MaxBuckets = 1024;

  /// Merges \p changes and returns the objects whose state changed, in their
  /// new state, including those deleted because a complete listing does not
  /// contain them.
  std::vector<PublishedObject> merge(const PublishedChanges &changes);

  /// Returns the revision up to which \p section is completely known; zero if
  /// it is not.
  Revision completeRevision(PublishedSection section) const {
    return contentOf(section).CompleteUpTo;
  }
  /// Returns the revision of the last known change in \p section. A listing
  /// shows which objects exist, but not when the last one was deleted, so it
  /// counts as a change itself.
  Revision lastChange(PublishedSection section) const {
    return contentOf(section).LastChange;
  }
  /// Marks \p section as complete up to \p as without a transfer, and returns
  /// whether that was possible. A peer has reported that nothing changed
  /// between \p lastChange and \p as, and that its objects have \p presentHash.
  /// This requires that \p section is complete up to \p lastChange, or that the
  /// same objects are held. Without the second condition, each newly started
  /// daemon, which only has a listing, would send everything to all others.
  bool extendCompleteness(PublishedSection section, Revision lastChange,
                          Revision as, uint64_t presentHash);
  /// Returns the hash of the names and revisions of the existing objects of \p
  /// section.
  uint64_t presentHash(PublishedSection section) const {
    return contentOf(section).PresentHash;
  }
  /// Returns the revision after which all changes are known, deletions
  /// included. A peer that is complete only up to an earlier one has to compare
  /// buckets.
  Revision historyFrom(PublishedSection section) const {
    return contentOf(section).HistoryFrom;
  }
  /// Returns the number of existing objects of \p section.
  size_t objectCount(PublishedSection section) const {
    return contentOf(section).ObjectCount;
  }
  /// Returns hashes of the existing objects of \p section in \p count buckets,
  /// which are chosen by the hash of the name. Two daemons need to exchange
  /// only objects in buckets that differ, whatever history they hold.
  /// Precondition: isValidBucketCount(count).
  std::vector<uint32_t> bucketHashes(PublishedSection section,
                                     uint32_t count) const;
  /// Returns the existing objects in buckets whose hashes differ from \p
  /// theirs, starting at bucket \p first; stops after the bucket that brings
  /// the count to \p most objects or more. Precondition:
  /// isValidBucketCount(theirs.size()).
  PublishedChanges differencesFrom(PublishedSection section,
                                   const std::vector<uint32_t> &theirs,
                                   uint32_t first, size_t most) const;
  /// Returns true for a power of two up to MaxBuckets.
  static bool isValidBucketCount(size_t count) {
    return count > 0 && count <= MaxBuckets && (count & (count - 1)) == 0;
  }
  /// Returns whether all sections are completely known up to some revision.
  bool isComplete() const;
  /// Returns the changes that a peer needs which holds \p section up to \p
  /// after: a full listing if the history does not reach back that far.
  PublishedChanges changesAfter(PublishedSection section, Revision after) const;
  /// Returns the existing objects of \p section, ordered by name.
  std::vector<PublishedObject> objects(PublishedSection section) const;

private:
  /// Orders objects by bucket, so that the objects of some buckets are found
  /// without iterating over all.
  struct ObjectKey {
    uint32_t Bucket = 0; ///< Among MaxBuckets.
    std::string Name;    ///< Name of the object.

    friend bool operator<(const ObjectKey &a, const ObjectKey &b) {
      return a.Bucket != b.Bucket ? a.Bucket < b.Bucket : a.Name < b.Name;
    }
  };
  using ObjectMap = std::map<ObjectKey, PublishedObject>;
  /// Content of one section.
  struct SectionContent {
    Revision CompleteUpTo;    ///< All changes up to here are known.
    Revision LastChange;      ///< See lastChange().
    Revision HistoryFrom;     ///< Deletions up to here may be unknown.
    ObjectMap Objects;        ///< Tombstones included.
    uint64_t PresentHash = 0; ///< See presentHash().
    size_t ObjectCount = 0;   ///< See objectCount().
    std::array<uint64_t, MaxBuckets> BucketHashes{}; ///< PresentHash by bucket.
    std::deque<std::string>
        Tombstones; ///< Names of deleted objects, oldest first.
  };

  const SectionContent &contentOf(PublishedSection section) const {
    return Sections[static_cast<size_t>(section)];
  }
  static ObjectKey keyOf(const std::string &name);
  static ObjectMap::const_iterator firstOf(const SectionContent &in,
                                           uint32_t bucket, uint32_t count);
  static void removeUnlisted(SectionContent &in,
                             const PublishedChanges &listing,
                             std::vector<PublishedObject> &changed);
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
