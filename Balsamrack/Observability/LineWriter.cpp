#include "Balsamrack/Observability/LineWriter.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace balsamrack {

namespace {

using std::chrono::steady_clock;

/// Bytes that a pipe accepts without blocking once poll() reports it writable.
constexpr size_t ChunkBytes = 4096;
/// Interval at which a blocked writer checks whether it has to stop.
constexpr int PollMillis = 50;

class ThreadLineWriter final : public LineWriter {
public:
  ThreadLineWriter(const LineWriterSettings &settings, int fd)
      : Settings(settings), Fd(fd), Writer([this] { run(); }) {}
  ThreadLineWriter(const ThreadLineWriter &) = delete;
  ThreadLineWriter &operator=(const ThreadLineWriter &) = delete;
  ~ThreadLineWriter() override {
    {
      std::lock_guard<std::mutex> guard(Lock);
      Stopping = true;
      StopDeadline = steady_clock::now() + Settings.StopTimeout;
    }
    WakeWriter.notify_all();
    Writer.join();
  }

  bool enqueue(std::string line) override;
  uint64_t unwritten() const override {
    std::lock_guard<std::mutex> guard(Lock);
    return Unwritten;
  }

private:
  void run();
  size_t writeAll(const std::string &text);
  ssize_t writeChunk(const char *bytes, size_t size) const;
  bool mayWait() const;

  const LineWriterSettings Settings;
  const int Fd;
  mutable std::mutex Lock; ///< Guards the members below.
  std::condition_variable WakeWriter;
  std::vector<std::string> QueuedLines;
  uint64_t Unwritten = 0;
  bool Stopping = false;
  steady_clock::time_point StopDeadline; ///< Valid if Stopping.
  std::thread Writer; ///< Last member, since the thread uses those above.
};

bool ThreadLineWriter::enqueue(std::string line) {
  std::lock_guard<std::mutex> guard(Lock);
  if (QueuedLines.size() >= Settings.MaxQueuedLines)
    return false;
  QueuedLines.push_back(std::move(line));
  if (QueuedLines.size() == Settings.MaxQueuedLines / 2)
    WakeWriter.notify_one();
  return true;
}

bool ThreadLineWriter::mayWait() const {
  std::lock_guard<std::mutex> guard(Lock);
  return !Stopping || steady_clock::now() < StopDeadline;
}

ssize_t ThreadLineWriter::writeChunk(const char *bytes, size_t size) const {
  ssize_t n = ::send(Fd, bytes, size, MSG_DONTWAIT | MSG_NOSIGNAL);
  if (n >= 0 || errno != ENOTSOCK)
    return n;
  return ::write(Fd, bytes, size);
}

/// Returns the number of bytes written.
size_t ThreadLineWriter::writeAll(const std::string &text) {
  size_t written = 0;
  while (written < text.size() && mayWait()) {
    // A reader that has stopped reading must not block this thread: it would
    // then never see that the process is to end.
    pollfd writable{Fd, POLLOUT, 0};
    int ready = ::poll(&writable, 1, PollMillis);
    if (ready == 0 || (ready < 0 && errno == EINTR))
      continue;
    ssize_t n = ready < 0
                    ? -1
                    : writeChunk(text.data() + written,
                                 std::min(ChunkBytes, text.size() - written));
    if (n < 0 && (errno == EINTR || errno == EAGAIN))
      continue;
    // The reader is gone.
    if (n <= 0)
      return written;
    written += static_cast<size_t>(n);
  }
  return written;
}

void ThreadLineWriter::run() {
  std::unique_lock<std::mutex> lock(Lock);
  for (;;) {
    bool stopping = Stopping;
    std::vector<std::string> lines = std::exchange(QueuedLines, {});
    if (!lines.empty()) {
      lock.unlock();
      std::string text;
      for (const std::string &line : lines)
        text += line;
      size_t written = writeAll(text);
      auto lost = std::count(text.begin() + static_cast<ptrdiff_t>(written),
                             text.end(), '\n');
      lock.lock();
      Unwritten += static_cast<uint64_t>(lost);
    }
    if (stopping && QueuedLines.empty())
      return;
    if (!Stopping)
      WakeWriter.wait_for(lock, Settings.FlushInterval);
  }
}

} // namespace

std::unique_ptr<LineWriter>
LineWriter::create(const LineWriterSettings &settings, int fd) {
  return std::make_unique<ThreadLineWriter>(settings, fd);
}

} // namespace balsamrack
