#include "Balsamrack/Decisions/AdmissionQueue.h"

#include <set>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace balsamrack {
namespace {

/// A request given by caller and deadline in ms; its id is its position in the
/// list.
struct Waiting {
  uint64_t Caller;
  int64_t Deadline;
  bool LongWork = false;
};

QueuedRequest make(uint64_t id, const Waiting &w) {
  QueuedRequest r;
  r.Head.Request.Value = id;
  r.Head.Caller.Value = w.Caller;
  r.Deadline = TimePoint(Duration(w.Deadline * 1000));
  r.LongWork = w.LongWork;
  return r;
}

struct QueueCase {
  const char *Name;
  bool Fair;
  uint32_t Capacity;
  std::vector<Waiting> Pushed;
  std::vector<uint64_t> Popped; // Ids, starting at 1.
  std::vector<uint64_t> Refused;
  Reason Why = Reason::None; // Reason for those refused.
};

class QueueTest : public testing::TestWithParam<QueueCase> {};

// One caller sends many requests, others one each. In order of arrival the
// others would wait for all requests of the first caller; in rounds each waits
// for one.
TEST_P(QueueTest, ServesInRounds) {
  const QueueCase &test = GetParam();
  AdmissionQueue queue(test.Capacity, test.Fair);
  std::vector<uint64_t> refused;
  for (size_t n = 0; n < test.Pushed.size(); ++n) {
    auto verdict = queue.push(make(n + 1, test.Pushed[n]));
    if (verdict.Refused != Reason::None) {
      EXPECT_STREQ(reasonName(verdict.Refused), reasonName(test.Why));
      refused.push_back(n + 1);
    }
    if (verdict.Evicted)
      refused.push_back(verdict.Evicted->Head.Request.Value);
  }
  EXPECT_EQ(refused, test.Refused);
  std::vector<uint64_t> popped;
  for (const QueuedRequest &r : queue.removeAll())
    popped.push_back(r.Head.Request.Value);
  EXPECT_EQ(popped, test.Popped);
}

INSTANTIATE_TEST_SUITE_P(
    Orders, QueueTest,
    testing::Values(QueueCase{"EarliestDeadlineFirst",
                              true,
                              8,
                              {{1, 30}, {2, 10}, {3, 20}},
                              {2, 3, 1},
                              {}},
                    QueueCase{"OwnRequestsByDeadline",
                              true,
                              8,
                              {{1, 30}, {1, 10}, {1, 20}},
                              {2, 3, 1},
                              {}},
                    QueueCase{"RoundsAmongCallers",
                              true,
                              8,
                              {{1, 10}, {1, 11}, {1, 12}, {2, 90}, {3, 80}},
                              {1, 5, 4, 2, 3},
                              {}},
                    QueueCase{"BaselineServesTheHotCallerFirst",
                              false,
                              8,
                              {{1, 10}, {1, 11}, {1, 12}, {2, 90}, {3, 80}},
                              {1, 2, 3, 4, 5},
                              {}},
                    QueueCase{"NewcomerPushesTheLatestOfTheLongestOut",
                              true,
                              3,
                              {{1, 10}, {1, 30}, {1, 20}, {2, 90}},
                              {1, 4, 3},
                              {2}},
                    QueueCase{"CallerOverItsShareIsRefused",
                              true,
                              3,
                              {{1, 10}, {1, 30}, {2, 90}, {1, 20}},
                              {1, 3, 2},
                              {4},
                              Reason::CallerOverFairShare},
                    QueueCase{"OneCallerMayFillTheQueue",
                              true,
                              2,
                              {{1, 10}, {1, 30}, {1, 20}},
                              {1, 2},
                              {3},
                              Reason::QueueFull}),
    [](const auto &info) { return info.param.Name; });

// Guards against a slot left idle because the first queued request is long work
// that may not start, while short work is queued behind it.
TEST(AdmissionQueueTest, ShortWorkPassesLongWorkThatMayNotStart) {
  AdmissionQueue queue(8, true);
  queue.push(make(1, {1, 10, true}));
  queue.push(make(2, {2, 20}));
  EXPECT_EQ(queue.pop(false)->Head.Request.Value, 2U);
  EXPECT_FALSE(queue.pop(false).has_value());
  EXPECT_EQ(queue.pop(true)->Head.Request.Value, 1U);
}

// Guards against starvation of a caller's second request by a stream of new
// callers: a new caller joins the next round, not the one in progress.
TEST(AdmissionQueueTest, NewcomersDontStarveASecondRequest) {
  AdmissionQueue queue(8, true);
  queue.push(make(1, {1, 10}));
  queue.push(make(2, {1, 11}));
  std::set<uint64_t> served;
  for (uint64_t id = 3; id < 9; ++id) {
    queue.push(make(id, {id, static_cast<int64_t>(100 + id)}));
    served.insert(queue.pop(true)->Head.Request.Value);
  }
  EXPECT_EQ(served.count(2), 1U);
}

// For any sequence of pushes, pops, removals and expirations, the queue never
// exceeds its capacity, and each request leaves exactly once, in one way.
TEST(AdmissionQueueProperty, EachRequestLeavesOnce) {
  rc::detail::TestParams params;
  params.seed = 7;
  auto result = rc::detail::checkTestable(
      [](const std::vector<uint16_t> &steps) {
        AdmissionQueue queue(6, true);
        std::multiset<uint64_t> left;
        uint64_t next = 1;
        for (uint16_t step : steps) {
          uint64_t caller = step / 16 % 5;
          int64_t deadline = step / 128;
          if (step % 4 == 0) {
            if (auto r = queue.pop(step % 8 == 0))
              left.insert(r->Head.Request.Value);
          } else if (step % 16 == 1) {
            if (auto r = queue.remove(RequestId{next / 2}))
              left.insert(r->Head.Request.Value);
          } else if (step % 16 == 5) {
            for (auto &r : queue.removeExpired(TimePoint(Duration(deadline))))
              left.insert(r.Head.Request.Value);
          } else {
            Waiting w{caller, deadline, step % 3 == 0};
            auto verdict = queue.push(make(next, w));
            if (verdict.Refused != Reason::None)
              left.insert(next);
            if (verdict.Evicted)
              left.insert(verdict.Evicted->Head.Request.Value);
            ++next;
          }
          RC_ASSERT(queue.size() <= 6U);
        }
        for (auto &r : queue.removeAll())
          left.insert(r.Head.Request.Value);
        RC_ASSERT(queue.empty() && !queue.earliestDeadline());
        RC_ASSERT(left.size() == next - 1);
        for (uint64_t id = 1; id < next; ++id)
          RC_ASSERT(left.count(id) == 1U);
      },
      rc::detail::TestMetadata(), params);
  EXPECT_TRUE(result.is<rc::detail::SuccessResult>());
}

} // namespace
} // namespace balsamrack
