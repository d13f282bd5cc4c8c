#ifndef BALSAMRACK_MEMBERSHIP_GOSSIPQUEUE_H
#define BALSAMRACK_MEMBERSHIP_GOSSIPQUEUE_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <vector>

namespace balsamrack {

/// Which updates still have to ride on probes, least often sent first, older
/// ones first among equals. Holds only names: the updates themselves are looked
/// up when they are sent, so that they are never stale. \p Key is a VmId or a
/// ServerId. Not thread-safe.
template <class Key> class GossipQueue {
public:
  /// \p key has updates that were not sent yet. Not thread-safe.
  void add(const Key &key) {
    remove(key);
    insert(key, 0);
  }
  /// \p key needs no update any more. Not thread-safe.
  void remove(const Key &key) {
    auto it = PositionByKey.find(key);
    if (it == PositionByKey.end())
      return;
    Order.erase({it->second.Sent, it->second.Turn, key});
    PositionByKey.erase(it);
  }
  /// Takes names until their sizes by \p sizeOf fill \p bytes, and counts them
  /// as sent; a name that was sent \p times is dropped. Not thread-safe.
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
  /// Number of names with unsent updates. Not thread-safe.
  size_t size() const { return PositionByKey.size(); }

private:
  /// Where a key stands in the order.
  struct Position {
    uint32_t Sent = 0; ///< How often it was sent.
    uint64_t Turn = 0; ///< Lower was placed earlier.
  };
  void insert(const Key &key, uint32_t sent) {
    PositionByKey[key] = {sent, ++LastTurn};
    Order.insert({sent, LastTurn, key});
  }

  std::set<std::tuple<uint32_t, uint64_t, Key>> Order; ///< By (sent, turn).
  std::map<Key, Position> PositionByKey;               ///< The same by key.
  uint64_t LastTurn = 0;                               ///< Counts placings.
};

} // namespace balsamrack

#endif // BALSAMRACK_MEMBERSHIP_GOSSIPQUEUE_H
