#include "Balsamrack/Published/PublishedStore.h"

#include <algorithm>
#include <cassert>
#include <set>

namespace balsamrack {

namespace {

constexpr unsigned HashBits = 64;

/// Returns the bucket of the object \p name among \p count buckets. With twice
/// as many, each bucket splits into two adjacent ones.
uint32_t bucketOf(const std::string &name, uint32_t count) {
  return static_cast<uint32_t>(
      (static_cast<unsigned __int128>(stableHash(name)) * count) >> HashBits);
}

} // namespace

PublishedStore::ObjectKey PublishedStore::keyOf(const std::string &name) {
  return {bucketOf(name, MaxBuckets), name};
}

/// Returns the first object of \p bucket among \p count buckets, or of a later
/// one.
PublishedStore::ObjectMap::const_iterator
PublishedStore::firstOf(const SectionContent &in, uint32_t bucket,
                        uint32_t count) {
  return in.Objects.lower_bound({bucket * (MaxBuckets / count), ""});
}

void PublishedStore::toggleHash(SectionContent &in,
                                const PublishedObject &object) {
  uint64_t hash = combineHash(stableHash(object.Name), object.At.Value);
  in.PresentHash ^= hash;
  in.BucketHashes[bucketOf(object.Name, MaxBuckets)] ^= hash;
}

void PublishedStore::addToHashes(SectionContent &in,
                                 const PublishedObject &object) {
  if (object.isDeleted())
    return;
  toggleHash(in, object);
  ++in.ObjectCount;
}

void PublishedStore::removeFromHashes(SectionContent &in,
                                      const PublishedObject &object) {
  if (object.isDeleted())
    return;
  toggleHash(in, object);
  --in.ObjectCount;
}

void PublishedStore::remove(SectionContent &in, PublishedObject &object,
                            Revision at) {
  removeFromHashes(in, object);
  object.At = at;
  object.Content = std::monostate();
  in.LastChange = std::max(in.LastChange, at);
  in.Tombstones.push_back(object.Name);
}

bool PublishedStore::apply(SectionContent &into,
                           const PublishedObject &object) {
  auto it = into.Objects.find(keyOf(object.Name));
  Revision known = it == into.Objects.end() ? into.CompleteUpTo : it->second.At;
  if (object.At <= known)
    return false;
  bool wasGone = it == into.Objects.end() || it->second.isDeleted();
  if (object.isDeleted() && !wasGone)
    into.Tombstones.push_back(object.Name);
  if (it != into.Objects.end()) {
    removeFromHashes(into, it->second);
    it->second = object;
  } else {
    into.Objects.emplace(keyOf(object.Name), object);
  }
  addToHashes(into, object);
  into.LastChange = std::max(into.LastChange, object.At);
  return !(object.isDeleted() && wasGone);
}

void PublishedStore::dropOldTombstones(SectionContent &from) {
  while (from.Tombstones.size() > MaxTombstones) {
    auto it = from.Objects.find(keyOf(from.Tombstones.front()));
    // Keep tombstones beyond CompleteUpTo: without them, an older listing would
    // restore the deleted object.
    bool beyond = it != from.Objects.end() && it->second.isDeleted() &&
                  it->second.At > from.CompleteUpTo;
    if (beyond)
      return;
    from.Tombstones.pop_front();
    if (it == from.Objects.end() || !it->second.isDeleted())
      continue;
    from.HistoryFrom = std::max(from.HistoryFrom, it->second.At);
    from.Objects.erase(it);
  }
}

void PublishedStore::removeUnlisted(SectionContent &in,
                                    const PublishedChanges &listing,
                                    std::vector<PublishedObject> &changed) {
  std::set<std::string> listed;
  for (const PublishedObject &object : listing.Objects)
    listed.insert(object.Name);
  auto removeFrom = [&](ObjectMap::iterator first, ObjectMap::iterator last) {
    for (auto it = first; it != last; ++it) {
      PublishedObject &object = it->second;
      if (object.isDeleted() || object.At > listing.UpTo ||
          listed.count(object.Name))
        continue;
      remove(in, object, listing.UpTo);
      changed.push_back(object);
    }
  };
  if (listing.BucketCount == 0) {
    removeFrom(in.Objects.begin(), in.Objects.end());
    return;
  }
  uint32_t width = MaxBuckets / listing.BucketCount;
  for (uint32_t bucket : listing.Buckets) {
    if (bucket >= listing.BucketCount)
      continue;
    removeFrom(in.Objects.lower_bound({bucket * width, ""}),
               in.Objects.lower_bound({(bucket + 1) * width, ""}));
  }
}

std::vector<PublishedObject>
PublishedStore::merge(const PublishedChanges &changes) {
  SectionContent &into = Sections[static_cast<size_t>(changes.Section)];
  std::vector<PublishedObject> changed;
  for (const PublishedObject &object : changes.Objects)
    if (apply(into, object))
      changed.push_back(object);
  bool byBuckets = changes.BucketCount > 0;
  bool valid = !byBuckets || isValidBucketCount(changes.BucketCount);
  if (changes.IsPartial || !valid)
    return changed;
  bool whole = changes.After == Revision{} && !byBuckets;
  if ((whole || byBuckets) && changes.UpTo > into.CompleteUpTo)
    removeUnlisted(into, changes, changed);
  // A listing does not show earlier deletions. Move HistoryFrom, so that this
  // daemon does not answer a peer with an incomplete list of changes, which
  // would leave a deleted object there.
  if (whole && changes.UpTo > into.CompleteUpTo) {
    into.HistoryFrom = std::max(into.HistoryFrom, changes.UpTo);
    into.LastChange = std::max(into.LastChange, changes.UpTo);
  }
  // A list of changes that starts after CompleteUpTo leaves a gap, so it does
  // not complete the section.
  if (whole || (!byBuckets && changes.After <= into.CompleteUpTo))
    into.CompleteUpTo = std::max(into.CompleteUpTo, changes.UpTo);
  dropOldTombstones(into);
  return changed;
}

bool PublishedStore::extendCompleteness(PublishedSection section,
                                        Revision lastChange, Revision as,
                                        uint64_t presentHash) {
  SectionContent &into = Sections[static_cast<size_t>(section)];
  if (into.CompleteUpTo == Revision{} || into.CompleteUpTo < lastChange) {
    if (presentHash != into.PresentHash)
      return false;
    // The same objects exist, but objects created and deleted in between are
    // unknown.
    into.HistoryFrom = std::max(into.HistoryFrom, as);
    into.LastChange = std::max(into.LastChange, lastChange);
  }
  into.CompleteUpTo = std::max(into.CompleteUpTo, as);
  return true;
}

bool PublishedStore::isComplete() const {
  return std::all_of(
      Sections.begin(), Sections.end(),
      [](const SectionContent &it) { return it.CompleteUpTo != Revision{}; });
}

PublishedChanges PublishedStore::changesAfter(PublishedSection section,
                                              Revision after) const {
  const SectionContent &from = contentOf(section);
  bool whole = after < from.HistoryFrom || after == Revision{};
  PublishedChanges changes{
      section, whole ? Revision{} : after, from.CompleteUpTo, {}};
  for (const auto &[key, object] : from.Objects)
    if (whole ? !object.isDeleted() : object.At > after)
      changes.Objects.push_back(object);
  return changes;
}

std::vector<uint32_t> PublishedStore::bucketHashes(PublishedSection section,
                                                   uint32_t count) const {
  assert(isValidBucketCount(count));
  std::vector<uint32_t> hashes(count);
  for (uint32_t i = 0; i < MaxBuckets; ++i)
    hashes[i / (MaxBuckets / count)] ^=
        static_cast<uint32_t>(contentOf(section).BucketHashes[i]);
  return hashes;
}

PublishedChanges
PublishedStore::differencesFrom(PublishedSection section,
                                const std::vector<uint32_t> &theirs,
                                uint32_t first, size_t most) const {
  const SectionContent &from = contentOf(section);
  auto count = static_cast<uint32_t>(theirs.size());
  std::vector<uint32_t> ours = bucketHashes(section, count);
  PublishedChanges changes{section, from.CompleteUpTo, from.CompleteUpTo, {}};
  changes.BucketCount = count;
  for (uint32_t i = 0; i < count && changes.Objects.size() < most; ++i) {
    uint32_t bucket = (first + i) % count;
    if (ours[bucket] == theirs[bucket])
      continue;
    changes.Buckets.push_back(bucket);
    auto last = firstOf(from, bucket + 1, count);
    for (auto it = firstOf(from, bucket, count); it != last; ++it)
      if (!it->second.isDeleted())
        changes.Objects.push_back(it->second);
  }
  return changes;
}

std::vector<PublishedObject>
PublishedStore::objects(PublishedSection section) const {
  std::vector<PublishedObject> all;
  for (const auto &[key, object] : contentOf(section).Objects)
    if (!object.isDeleted())
      all.push_back(object);
  std::sort(all.begin(), all.end(),
            [](const auto &a, const auto &b) { return a.Name < b.Name; });
  return all;
}

} // namespace balsamrack
