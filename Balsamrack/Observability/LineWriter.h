#ifndef BALSAMRACK_OBSERVABILITY_LINEWRITER_H
#define BALSAMRACK_OBSERVABILITY_LINEWRITER_H

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "Balsamrack/Core/Time.h"

namespace balsamrack {

/// Limits of a LineWriter.
struct LineWriterSettings {
  uint32_t MaxQueuedLines = 2'000; ///< Further lines are dropped.
  Duration FlushInterval{
      250'000}; ///< Interval at which queued lines are written, in one call.
  Duration StopTimeout{500'000}; ///< How long the destructor waits for a reader
                                 ///< that reads nothing.
};

/// Writes lines to a file descriptor on a thread of its own, so that no caller
/// ever waits for the reader of the other end. Thread-safe.
class LineWriter {
public:
  /// Does not close \p fd. Precondition: \p fd is open while the writer exists.
  static std::unique_ptr<LineWriter> create(const LineWriterSettings &settings,
                                            int fd);
  /// Writes the queued lines, as far as the reader takes them within
  /// StopTimeout.
  virtual ~LineWriter() = default;
  /// Queues a line, which ends with a line break. Returns false if the queue is
  /// full. Never blocks.
  virtual bool enqueue(std::string line) = 0;
  /// Number of lines that were queued but could not be written, because the
  /// reader is gone or read nothing until the end.
  virtual uint64_t unwritten() const = 0;
};

} // namespace balsamrack

#endif // BALSAMRACK_OBSERVABILITY_LINEWRITER_H
