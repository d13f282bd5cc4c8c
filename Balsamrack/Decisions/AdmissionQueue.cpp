#include "Balsamrack/Decisions/AdmissionQueue.h"

#include <algorithm>
#include <tuple>

namespace balsamrack {

AdmissionQueue::AdmissionQueue(uint32_t capacity, bool fair)
    : Capacity(capacity), Fair(fair) {}

CallerId AdmissionQueue::queueKey(const QueuedRequest &request) const {
  return Fair ? request.Head.Caller : CallerId{};
}

AdmissionQueue::Verdict AdmissionQueue::push(const QueuedRequest &request) {
  Verdict verdict;
  CallerId caller = queueKey(request);
  if (Size >= Capacity) {
    // The queue is full: only a caller with fewer requests than the one with
    // the most may take a place from it. Otherwise two greedy callers would
    // evict each other forever.
    auto own = ByCaller.find(caller);
    size_t held = own == ByCaller.end() ? 0 : own->second.Waiting.size();
    auto longest = longestQueue();
    if (longest == ByCaller.end() || !Fair) {
      verdict.Refused = Reason::QueueFull;
      return verdict;
    }
    if (held + 1 >= longest->second.Waiting.size()) {
      bool overShare = held * waitingCallers() > Size;
      verdict.Refused =
          overShare ? Reason::CallerOverFairShare : Reason::QueueFull;
      return verdict;
    }
    verdict.Evicted = removeAt(longest, longest->second.Waiting.size() - 1);
  }
  CallerQueue &line = ByCaller[caller];
  line.Round = std::max(line.Round, Round + 1);
  Entry entry{request, NextSequence++};
  auto before = [this](const Entry &a, const Entry &b) {
    return Fair && a.What.Deadline < b.What.Deadline;
  };
  auto &waiting = line.Waiting;
  waiting.insert(
      std::upper_bound(waiting.begin(), waiting.end(), entry, before), entry);
  Deadlines.insert(request.Deadline);
  ++Size;
  return verdict;
}

std::optional<QueuedRequest> AdmissionQueue::pop(bool allowLong) {
  size_t index = 0;
  auto line = nextQueue(allowLong, index);
  if (line == ByCaller.end())
    return std::nullopt;
  Round = std::max(Round, line->second.Round);
  ++line->second.Round;
  QueuedRequest request = removeAt(line, index);
  eraseServedCallers();
  return request;
}

void AdmissionQueue::recordBypass(CallerId caller) {
  // No request is queued, so the round is over, and only the last caller needs
  // to be remembered.
  if (Size == 0)
    ++Round;
  CallerQueue &line = ByCaller[Fair ? caller : CallerId{}];
  line.Round = std::max(line.Round, Round) + 1;
  eraseServedCallers();
}

std::optional<QueuedRequest> AdmissionQueue::remove(RequestId request) {
  for (auto it = ByCaller.begin(); it != ByCaller.end(); ++it) {
    auto &waiting = it->second.Waiting;
    for (size_t n = 0; n < waiting.size(); ++n)
      if (waiting[n].What.Head.Request == request)
        return removeAt(it, n);
  }
  return std::nullopt;
}

std::vector<QueuedRequest> AdmissionQueue::removeExpired(TimePoint when) {
  std::vector<Entry> expired;
  if (Deadlines.empty() || *Deadlines.begin() > when)
    return {};
  for (auto &[caller, line] : ByCaller) {
    auto keep = std::stable_partition(
        line.Waiting.begin(), line.Waiting.end(),
        [when](const Entry &e) { return e.What.Deadline > when; });
    expired.insert(expired.end(), keep, line.Waiting.end());
    line.Waiting.erase(keep, line.Waiting.end());
  }
  std::sort(expired.begin(), expired.end(), [](const Entry &a, const Entry &b) {
    return std::tie(a.What.Deadline, a.Sequence) <
           std::tie(b.What.Deadline, b.Sequence);
  });
  std::vector<QueuedRequest> out;
  out.reserve(expired.size());
  for (Entry &e : expired) {
    releaseEntry(e.What);
    out.push_back(std::move(e.What));
  }
  return out;
}

std::vector<QueuedRequest> AdmissionQueue::removeAll() {
  std::vector<QueuedRequest> out;
  while (std::optional<QueuedRequest> next = pop(true))
    out.push_back(std::move(*next));
  return out;
}

uint32_t AdmissionQueue::countAhead(CallerId caller, TimePoint deadline,
                                    bool longWork) const {
  auto same = [longWork](const Entry &e) {
    return e.What.LongWork == longWork;
  };
  // Determines the round of the new request: earlier deadlines of its own
  // caller come first.
  auto own = ByCaller.find(Fair ? caller : CallerId{});
  uint64_t turn = Round + 1;
  uint32_t count = 0;
  if (own != ByCaller.end()) {
    for (const Entry &e : own->second.Waiting)
      count += same(e) && (!Fair || e.What.Deadline <= deadline) ? 1 : 0;
    turn = std::max(turn, own->second.Round) + count;
  }
  // Every other caller is served once per round until then.
  for (const auto &[other, line] : ByCaller) {
    if (!Fair || other == caller)
      continue;
    uint64_t round = line.Round;
    for (const Entry &e : line.Waiting) {
      if (!same(e))
        continue;
      bool earlier = round < turn;
      bool tied = round == turn && e.What.Deadline <= deadline;
      count += earlier || tied ? 1 : 0;
      ++round;
    }
  }
  return count;
}

std::optional<TimePoint> AdmissionQueue::earliestDeadline() const {
  if (Deadlines.empty())
    return std::nullopt;
  return *Deadlines.begin();
}

AdmissionQueue::CallerQueues::iterator AdmissionQueue::longestQueue() {
  return std::max_element(
      ByCaller.begin(), ByCaller.end(), [](const auto &a, const auto &b) {
        return a.second.Waiting.size() < b.second.Waiting.size();
      });
}

size_t AdmissionQueue::waitingCallers() const {
  return std::count_if(ByCaller.begin(), ByCaller.end(), [](const auto &line) {
    return !line.second.Waiting.empty();
  });
}

AdmissionQueue::CallerQueues::iterator
AdmissionQueue::nextQueue(bool allowLong, size_t &index) {
  auto best = ByCaller.end();
  for (auto it = ByCaller.begin(); it != ByCaller.end(); ++it) {
    const auto &waiting = it->second.Waiting;
    auto head =
        std::find_if(waiting.begin(), waiting.end(), [=](const Entry &e) {
          return allowLong || !e.What.LongWork;
        });
    if (head == waiting.end())
      continue;
    bool sooner = best == ByCaller.end();
    if (!sooner) {
      const Entry &other = best->second.Waiting[index];
      sooner =
          std::tie(it->second.Round, head->What.Deadline, head->Sequence) <
          std::tie(best->second.Round, other.What.Deadline, other.Sequence);
    }
    if (sooner) {
      best = it;
      index = static_cast<size_t>(head - waiting.begin());
    }
  }
  return best;
}

QueuedRequest AdmissionQueue::removeAt(CallerQueues::iterator line,
                                       size_t index) {
  auto it = line->second.Waiting.begin() + static_cast<ptrdiff_t>(index);
  QueuedRequest request = std::move(it->What);
  line->second.Waiting.erase(it);
  releaseEntry(request);
  return request;
}

void AdmissionQueue::releaseEntry(const QueuedRequest &request) {
  Deadlines.erase(Deadlines.find(request.Deadline));
  --Size;
}

void AdmissionQueue::eraseServedCallers() {
  // A caller without queued requests that may be served in the next round
  // anyway needs no entry. This bounds the map by the callers of one round.
  for (auto it = ByCaller.begin(); it != ByCaller.end();)
    it = it->second.Waiting.empty() && it->second.Round <= Round
             ? ByCaller.erase(it)
             : std::next(it);
}

} // namespace balsamrack
