#include "Balsamrack/Published/PublishedStore.h"

#include <algorithm>
#include <cassert>
#include <set>

namespace balsamrack {

namespace {

constexpr unsigned HashBits = 64;

/// Bucket of the object \p name among \p count of them. Halves of a bucket are
/// neighbours in twice as many.
uint32_t bucketOf(const std::string &name, uint32_t count) {
  return static_cast<uint32_t>(
      (static_cast<unsigned __int128>(stableHash(name)) * count) >> HashBits);
}

} // namespace

void PublishedStore::toggleHash(Part &in, const PublishedObject &object) {
  uint64_t hash = combineHash(stableHash(object.Name), object.At.Value);
  in.Present ^= hash;
  in.Buckets[bucketOf(object.Name, MaxBuckets)] ^= hash;
}

void PublishedStore::addToHashes(Part &in, const PublishedObject &object) {
  if (object.gone())
    return;
  toggleHash(in, object);
  ++in.Existing;
}

void PublishedStore::removeFromHashes(Part &in, const PublishedObject &object) {
  if (object.gone())
    return;
  toggleHash(in, object);
  --in.Existing;
}

void PublishedStore::remove(Part &in, PublishedObject &object, Revision at) {
  removeFromHashes(in, object);
  object.At = at;
  object.Content = std::monostate();
  in.LastChange = std::max(in.LastChange, at);
  in.Gone.push_back(object.Name);
}

bool PublishedStore::apply(Part &into, const PublishedObject &object) {
  auto it = into.Objects.find(object.Name);
  Revision known = it == into.Objects.end() ? into.CompleteAs : it->second.At;
  if (object.At <= known)
    return false;
  bool wasGone = it == into.Objects.end() || it->second.gone();
  if (object.gone() && !wasGone)
    into.Gone.push_back(object.Name);
  if (it != into.Objects.end())
    removeFromHashes(into, it->second);
  addToHashes(into, object);
  into.Objects[object.Name] = object;
  into.LastChange = std::max(into.LastChange, object.At);
  return !(object.gone() && wasGone);
}

void PublishedStore::forgetOldest(Part &from) {
  while (from.Gone.size() > MaxGone) {
    auto it = from.Objects.find(from.Gone.front());
    // Only what is complete makes up for what is forgotten: beyond it an older
    // listing would bring the object back.
    bool beyond = it != from.Objects.end() && it->second.gone() &&
                  it->second.At > from.CompleteAs;
    if (beyond)
      return;
    from.Gone.pop_front();
    if (it == from.Objects.end() || !it->second.gone())
      continue;
    from.ForgotUpTo = std::max(from.ForgotUpTo, it->second.At);
    from.Objects.erase(it);
  }
}

std::vector<PublishedObject>
PublishedStore::merge(const PublishedChanges &changes) {
  Part &into = Parts[static_cast<size_t>(changes.Section)];
  std::vector<PublishedObject> changed;
  std::set<std::string> listed;
  for (const PublishedObject &object : changes.Objects) {
    listed.insert(object.Name);
    if (apply(into, object))
      changed.push_back(object);
  }
  bool byBuckets = changes.BucketCount > 0;
  bool whole = changes.After == Revision{} && !byBuckets;
  std::set<uint32_t> buckets(changes.Buckets.begin(), changes.Buckets.end());
  if ((whole || byBuckets) && changes.As > into.CompleteAs)
    for (auto &[name, object] : into.Objects) {
      if (object.gone() || object.At > changes.As || listed.count(name))
        continue;
      if (byBuckets && buckets.count(bucketOf(name, changes.BucketCount)) == 0)
        continue;
      remove(into, object, changes.As);
      changed.push_back(object);
    }
  // Guards against a removed object that lives on at a peer: a listing does not
  // tell what was removed before it, so neither can its holder.
  if (whole && changes.As > into.CompleteAs) {
    into.ForgotUpTo = std::max(into.ForgotUpTo, changes.As);
    into.LastChange = std::max(into.LastChange, changes.As);
  }
  // A list of changes that begins after what is held leaves a gap, so it does
  // not complete the section.
  if (whole || (!byBuckets && changes.After <= into.CompleteAs))
    into.CompleteAs = std::max(into.CompleteAs, changes.As);
  forgetOldest(into);
  return changed;
}

bool PublishedStore::completeUpTo(PublishedSection section, Revision lastChange,
                                  Revision as, uint64_t presentHash) {
  Part &into = Parts[static_cast<size_t>(section)];
  if (into.CompleteAs == Revision{} || into.CompleteAs < lastChange) {
    if (presentHash != into.Present)
      return false;
    // The same objects exist, but what came and went in between is not known.
    into.ForgotUpTo = std::max(into.ForgotUpTo, as);
    into.LastChange = std::max(into.LastChange, lastChange);
  }
  into.CompleteAs = std::max(into.CompleteAs, as);
  return true;
}

bool PublishedStore::complete() const {
  return std::all_of(Parts.begin(), Parts.end(), [](const Part &it) {
    return it.CompleteAs != Revision{};
  });
}

PublishedChanges PublishedStore::changesAfter(PublishedSection section,
                                              Revision after) const {
  const Part &from = part(section);
  bool whole = after < from.ForgotUpTo || after == Revision{};
  PublishedChanges changes{
      section, whole ? Revision{} : after, from.CompleteAs, {}};
  for (const auto &[name, object] : from.Objects)
    if (whole ? !object.gone() : object.At > after)
      changes.Objects.push_back(object);
  return changes;
}

std::vector<uint32_t> PublishedStore::bucketHashes(PublishedSection section,
                                                   uint32_t count) const {
  assert(validBucketCount(count));
  std::vector<uint32_t> hashes(count);
  for (uint32_t i = 0; i < MaxBuckets; ++i)
    hashes[i / (MaxBuckets / count)] ^=
        static_cast<uint32_t>(part(section).Buckets[i]);
  return hashes;
}

PublishedChanges
PublishedStore::differencesFrom(PublishedSection section,
                                const std::vector<uint32_t> &theirs,
                                uint32_t first, size_t most) const {
  const Part &from = part(section);
  auto count = static_cast<uint32_t>(theirs.size());
  std::vector<uint32_t> ours = bucketHashes(section, count);
  std::vector<std::vector<const PublishedObject *>> contents(count);
  for (const auto &[name, object] : from.Objects)
    if (!object.gone())
      contents[bucketOf(name, count)].push_back(&object);
  PublishedChanges changes{section, from.CompleteAs, from.CompleteAs, {}};
  changes.BucketCount = count;
  for (uint32_t i = 0; i < count && changes.Objects.size() < most; ++i) {
    uint32_t bucket = (first + i) % count;
    if (ours[bucket] == theirs[bucket])
      continue;
    changes.Buckets.push_back(bucket);
    for (const PublishedObject *object : contents[bucket])
      changes.Objects.push_back(*object);
  }
  return changes;
}

std::vector<PublishedObject>
PublishedStore::objects(PublishedSection section) const {
  std::vector<PublishedObject> all;
  for (const auto &[name, object] : part(section).Objects)
    if (!object.gone())
      all.push_back(object);
  return all;
}

} // namespace balsamrack
