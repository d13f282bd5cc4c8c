#ifndef BALSAMRACK_MEMBERSHIP_GOSSIPQUEUE_H
#define BALSAMRACK_MEMBERSHIP_GOSSIPQUEUE_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <vector>

namespace balsamrack {

/// Queue of updates to piggyback on probes, least often sent first, then oldest
/// first. Holds only keys; the updates are looked up when they are sent, so
/// that they are never stale. \p Key is a VmId or a ServerId. Not thread-safe.
template <class Key> class GossipQueue {
public:
  /// Queues a new update of \p key. Not thread-safe.
  void add(const Key &key) {
    remove(key);
    insert(key, 0);
  }
  /// Removes \p key from the queue. Not thread-safe.
  void remove(const Key &key) {
    auto it = PositionByKey.find(key);
    if (it == PositionByKey.end())
      return;
    Order.erase({it->second.Sent, it->second.Turn, key});
    PositionByKey.erase(it);
  }
  /// Returns keys whose sizes by \p sizeOf fit into \p bytes in total, and
  /// counts them as sent; a key that was sent \p times is removed. Not
  /// thread-safe.
  template <class SizeOf>
  std::vector<Key> dequeue(size_t bytes, uint32_t times, SizeOf sizeOf) {
    std::vector<Key> dequeued;
    for (const auto &[sent, turn, key] : Order) {
      size_t size = sizeOf(key);
      if (size > bytes)
        break;
      bytes -= size;
      dequeued.push_back(key);
    }
    for (const Key &key : dequeued) {
      uint32_t sent = PositionByKey.at(key).Sent + 1;
      remove(key);
      if (sent < times)
        insert(key, sent);
    }
    return dequeued;
  }
  /// Returns the number of queued keys. Not thread-safe.
  size_t size() const { return PositionByKey.size(); }

private:
  /// Position of a key in the queue.
  struct Position {
    uint32_t Sent = 0; ///< Number of times it was sent.
    uint64_t Turn = 0; ///< Insertion number.
  };
  void insert(const Key &key, uint32_t sent) {
    PositionByKey[key] = {sent, ++LastTurn};
    Order.insert({sent, LastTurn, key});
  }

  std::set<std::tuple<uint32_t, uint64_t, Key>> Order; ///< By (Sent, Turn).
  std::map<Key, Position> PositionByKey;               ///< Positions by key.
  uint64_t LastTurn = 0;                               ///< Counts insertions.
};

} // namespace balsamrack

#endif // BALSAMRACK_MEMBERSHIP_GOSSIPQUEUE_H
