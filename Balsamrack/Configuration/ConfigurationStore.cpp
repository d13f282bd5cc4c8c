#include "Balsamrack/Configuration/ConfigurationStore.h"

#include <algorithm>

namespace balsamrack {

namespace {

/// Estimated encoded size of an object without its strings.
constexpr size_t ObjectOverheadBytes = 220;
/// Estimated encoded size of one port.
constexpr size_t PortBytes = 4;

uint64_t keyHash(const ObjectKey &key) {
  return stableHash(key.Name, static_cast<uint64_t>(key.Kind) + 1);
}

/// Hashes are added up over objects, so that the sum is independent of their
/// order.
uint64_t stateHash(const ObjectState &object) {
  return combineHash(keyHash(object.Key), object.Ticket.Value);
}

size_t bucketOf(const ObjectKey &key) {
  return keyHash(key) % ConfigurationStore::BucketCount;
}

size_t estimatedBytes(const ObjectState &object) {
  size_t bytes = ObjectOverheadBytes + object.Key.Name.size();
  if (const auto *service = std::get_if<Service>(&object.State))
    bytes += service->Ports.size() * PortBytes;
  if (const auto *server = std::get_if<BackendServer>(&object.State))
    bytes += server->Service.str().size() + server->Domain.str().size();
  return bytes;
}

/// Splits \p objects into messages of about \p maxBytes.
std::vector<StateUpdate>
splitIntoUpdates(const std::vector<const ObjectState *> &objects,
                 const StateDigest &held, size_t maxBytes) {
  std::vector<StateUpdate> updates;
  size_t bytes = maxBytes;
  for (const ObjectState *object : objects) {
    size_t objectBytes = estimatedBytes(*object);
    if (updates.empty() || bytes + objectBytes > maxBytes) {
      updates.push_back({held, {}});
      bytes = 0;
    }
    updates.back().Objects.push_back(*object);
    bytes += objectBytes;
  }
  return updates;
}

ObjectChange classifyChange(const ObjectState *held, const ObjectState &next) {
  using Kind = ObjectChange::Kind;
  if (!held)
    return {next.Key, next.deleted() ? Kind::Deleted : Kind::Created, {}};
  if (next.Ticket <= held->Ticket)
    return {next.Key, Kind::Superseded, held->Ticket};
  if (next.deleted())
    return {next.Key, Kind::Deleted, held->Ticket};
  return {next.Key, held->deleted() ? Kind::Created : Kind::Changed,
          held->Ticket};
}

} // namespace

ConfigurationStore::ConfigurationStore()
    : View(ConfigurationView::create({}, {})) {}

std::unique_ptr<ConfigurationStore> ConfigurationStore::create() {
  return std::unique_ptr<ConfigurationStore>(new ConfigurationStore());
}

bool ConfigurationStore::mergeObject(const ObjectState &object) {
  auto [it, inserted] = Objects.try_emplace(object.Key, object);
  if (!inserted && object.Ticket <= it->second.Ticket)
    return false;
  uint64_t &bucket = Buckets[bucketOf(object.Key)];
  if (!inserted)
    bucket -= stateHash(it->second);
  bucket += stateHash(object);
  it->second = object;
  Highest = std::max(Highest, object.Ticket);
  return true;
}

ConfigurationStore::MergeResult
ConfigurationStore::merge(const std::vector<ObjectState> &objects) {
  std::lock_guard<std::mutex> guard(Lock);
  MergeResult result;
  for (const ObjectState &object : objects)
    if (mergeObject(object))
      result.Changed.push_back(object.Key);
  // Most merges are repetitions; they create no new snapshot.
  if (!result.Changed.empty())
    View = ConfigurationView::create(Objects, Highest);
  result.View = View;
  return result;
}

std::shared_ptr<const ConfigurationView> ConfigurationStore::view() const {
  std::lock_guard<std::mutex> guard(Lock);
  return View;
}

StateDigest ConfigurationStore::digestLocked() const {
  uint64_t hash = 0;
  for (uint64_t bucket : Buckets)
    hash += bucket;
  return {Highest, hash};
}

StateDigest ConfigurationStore::digest() const {
  std::lock_guard<std::mutex> guard(Lock);
  return digestLocked();
}

StateRequest ConfigurationStore::request() const {
  std::lock_guard<std::mutex> guard(Lock);
  StateRequest result{digestLocked(), {}};
  // An empty store requests everything; bucket hashes would add nothing.
  if (!Objects.empty())
    result.BucketHashes.assign(Buckets.begin(), Buckets.end());
  return result;
}

std::vector<StateUpdate>
ConfigurationStore::updatesFor(const StateRequest &request,
                               size_t maxBytes) const {
  std::lock_guard<std::mutex> guard(Lock);
  bool all = request.BucketHashes.size() != BucketCount;
  std::vector<const ObjectState *> wanted;
  for (const auto &[key, object] : Objects) {
    size_t bucket = bucketOf(key);
    if (all || request.BucketHashes[bucket] != Buckets[bucket])
      wanted.push_back(&object);
  }
  std::stable_sort(wanted.begin(), wanted.end(),
                   [](const ObjectState *a, const ObjectState *b) {
                     return a->Ticket < b->Ticket;
                   });
  return splitIntoUpdates(wanted, digestLocked(), maxBytes);
}

std::vector<ObjectState> ConfigurationStore::objects() const {
  std::lock_guard<std::mutex> guard(Lock);
  std::vector<ObjectState> list;
  list.reserve(Objects.size());
  for (const auto &[key, object] : Objects)
    list.push_back(object);
  return list;
}

bool ConfigurationStore::isInForce(TicketNumber number) const {
  std::lock_guard<std::mutex> guard(Lock);
  return Highest >= number;
}

std::vector<ObjectChange>
ConfigurationStore::previewChanges(const Ticket &ticket) const {
  std::lock_guard<std::mutex> guard(Lock);
  std::vector<ObjectChange> changes;
  for (const ObjectState &next : ticket.Objects) {
    auto it = Objects.find(next.Key);
    changes.push_back(
        classifyChange(it == Objects.end() ? nullptr : &it->second, next));
  }
  return changes;
}

} // namespace balsamrack
