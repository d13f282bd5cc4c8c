#ifndef BALSAMRACK_DAEMON_TASKQUEUE_H
#define BALSAMRACK_DAEMON_TASKQUEUE_H

#include <functional>
#include <mutex>
#include <vector>

#include "Balsamrack/Core/Time.h"

namespace balsamrack {

/// Queue of tasks from other threads for a thread that waits in poll().
/// Thread-safe.
///
/// Ownership is shared by the posting threads and the executing one: a network
/// response may arrive after the thread that requested it has stopped, and its
/// task is dropped then.
class TaskQueue {
public:
  /// A task; called with the time of its execution.
  using Task = std::function<void(TimePoint)>;

  TaskQueue();
  TaskQueue(const TaskQueue &) = delete;
  TaskQueue &operator=(const TaskQueue &) = delete;
  ~TaskQueue();

  /// File descriptor that is readable while tasks are queued.
  int fd() const { return WakeEvent; }
  /// Appends \p task. Ignored after close().
  void post(Task task);
  /// Removes and returns all queued tasks.
  std::vector<Task> dequeueAll();
  /// Drops all queued tasks and ignores later ones.
  void close();

private:
  const int WakeEvent; ///< An eventfd.
  std::mutex Lock;     ///< Guards Tasks and Closed.
  std::vector<Task> Tasks;
  bool Closed = false;
};

} // namespace balsamrack

#endif // BALSAMRACK_DAEMON_TASKQUEUE_H
