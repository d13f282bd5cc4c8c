#include "Balsamrack/Daemon/TaskQueue.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cstdint>
#include <utility>

namespace balsamrack {

TaskQueue::TaskQueue() : WakeEvent(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {}

TaskQueue::~TaskQueue() { ::close(WakeEvent); }

void TaskQueue::post(Task task) {
  {
    std::lock_guard<std::mutex> hold(Lock);
    if (Closed)
      return;
    Tasks.push_back(std::move(task));
  }
  uint64_t one = 1;
  // The write fails only if the counter is full, which also wakes the thread.
  (void)!write(WakeEvent, &one, sizeof one);
}

std::vector<TaskQueue::Task> TaskQueue::dequeueAll() {
  uint64_t count = 0;
  // The read fails if no task was posted, which does no harm.
  (void)!read(WakeEvent, &count, sizeof count);
  std::lock_guard<std::mutex> hold(Lock);
  return std::exchange(Tasks, {});
}

void TaskQueue::close() {
  std::lock_guard<std::mutex> hold(Lock);
  Closed = true;
  Tasks.clear();
}

} // namespace balsamrack
