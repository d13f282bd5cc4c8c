#ifndef BALSAMRACK_DAEMON_TASKQUEUE_H
#define BALSAMRACK_DAEMON_TASKQUEUE_H

#include <functional>
#include <mutex>
#include <vector>

#include "Balsamrack/Core/Time.h"

namespace balsamrack {

/// Work that other threads hand to a thread that waits in poll(). Thread-safe.
///
/// Shared by those who hand over and the one who works: an answer of the
/// network may come after the thread that asked for it has ended, and then its
/// task is kept by nobody.
class TaskQueue {
public:
  /// What to do, given the time at which it is done.
  using Task = std::function<void(TimePoint)>;

  TaskQueue();
  TaskQueue(const TaskQueue &) = delete;
  TaskQueue &operator=(const TaskQueue &) = delete;
  ~TaskQueue();

  /// Readable while tasks wait.
  int fd() const { return WakeEvent; }
  /// Hands \p task over. Ignored once closed.
  void post(Task task);
  /// Takes all tasks that wait.
  std::vector<Task> dequeueAll();
  /// Drops what waits and whatever comes later.
  void close();

private:
  const int WakeEvent; ///< An eventfd.
  std::mutex Lock;     ///< Guards what follows.
  std::vector<Task> Tasks;
  bool Closed = false;
};

} // namespace balsamrack

#endif // BALSAMRACK_DAEMON_TASKQUEUE_H
