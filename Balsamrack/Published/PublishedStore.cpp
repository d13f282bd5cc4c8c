#include "Balsamrack/Published/PublishedStore.h"

#include <algorithm>
#include <set>

namespace balsamrack {

void PublishedStore::turn(Part &in, const PublishedObject &object) {
  if (!object.gone())
    in.Present ^= combineHash(stableHash(object.Name), object.At.Value);
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
    turn(into, it->second);
  turn(into, object);
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
  bool whole = changes.After == Revision{};
  if (whole && changes.As > into.CompleteAs)
    for (auto &[name, object] : into.Objects) {
      if (object.gone() || object.At > changes.As || listed.count(name))
        continue;
      turn(into, object);
      object.At = changes.As;
      object.Content = std::monostate();
      into.LastChange = std::max(into.LastChange, object.At);
      into.Gone.push_back(name);
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
  if (whole || changes.After <= into.CompleteAs)
    into.CompleteAs = std::max(into.CompleteAs, changes.As);
  forgetOldest(into);
  return changed;
}

bool PublishedStore::completeUpTo(PublishedSection section, Revision lastChange,
                                  Revision as, uint64_t presentHash) {
  Part &into = Parts[static_cast<size_t>(section)];
  if (into.CompleteAs == Revision{})
    return false;
  if (into.CompleteAs < lastChange) {
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

std::vector<PublishedObject>
PublishedStore::objects(PublishedSection section) const {
  std::vector<PublishedObject> all;
  for (const auto &[name, object] : part(section).Objects)
    if (!object.gone())
      all.push_back(object);
  return all;
}

} // namespace balsamrack
