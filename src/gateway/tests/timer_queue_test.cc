#include "gateway/internal/timer_queue.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

#include "framework/testing/story.h"

namespace acacialug::gateway {
namespace {

using acacialug::testing::It;

// A queue that is polled every 50 ms at the latest, and the timers that it
// fired.
struct Fixture {
  Fixture() {
    this->timers.FireDue(this->now);
    this->timers.Set(this->now + 300ms,
                     [this] { this->fired.emplace_back("instant"); });
    this->timers.SetResponseTimer(
        this->now, 300ms, [this] { this->fired.emplace_back("silence"); });
  }

  Duration FireAfter(Duration time) {
    this->now += time;
    return this->timers.FireDue(this->now);
  }

  Instant now{1h};
  std::vector<std::string> fired;
  TimerQueue timers{{}};
};

const acacialug::testing::Story kTimers(
    "the timer queue",
    {It("fires all timers that are due when it is polled in time",
        [] {
          Fixture fixture;
          CPPUNIT_ASSERT(fixture.FireAfter(310ms) == Duration::zero());
          CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.fired.size());
          CPPUNIT_ASSERT(fixture.timers.next() == kNever);
        }),
     It("fires nothing at first after a stall, and then what is due",
        [] {
          // Guards against answers that wait unread and are discarded, because
          // timers that are due during a stall fire before the sockets are
          // read.
          Fixture fixture;
          CPPUNIT_ASSERT(fixture.FireAfter(2s) == Duration(2s));
          CPPUNIT_ASSERT(fixture.fired.empty());
          CPPUNIT_ASSERT(fixture.FireAfter(1ms) == Duration::zero());
          CPPUNIT_ASSERT(fixture.fired == std::vector<std::string>{"instant"});
        }),
     It("does not count a stall toward a response timeout, and continues with "
        "the rest",
        [] {
          Fixture fixture;
          fixture.FireAfter(2s);
          fixture.FireAfter(1ms);
          fixture.FireAfter(90ms);
          fixture.FireAfter(90ms);
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.fired.size());
          fixture.FireAfter(30ms);
          CPPUNIT_ASSERT(fixture.fired ==
                         (std::vector<std::string>{"instant", "silence"}));
        }),
     It("counts the time that reading took after a stall as another stall",
        [] {
          Fixture fixture;
          fixture.FireAfter(2s);
          CPPUNIT_ASSERT(fixture.FireAfter(400ms) == Duration::zero());
          CPPUNIT_ASSERT(fixture.fired == std::vector<std::string>{"instant"});
        }),
     It("fires what is due though it is polled late each time",
        [] {
          Fixture fixture;
          // Otherwise a busy process would keep using dead endpoints forever.
          fixture.FireAfter(450ms);
          fixture.FireAfter(450ms);
          CPPUNIT_ASSERT(fixture.fired == std::vector<std::string>{"instant"});
          fixture.FireAfter(450ms);
          fixture.FireAfter(450ms);
          CPPUNIT_ASSERT(fixture.fired ==
                         (std::vector<std::string>{"instant", "silence"}));
        }),
     It("does not shift a response timer that started after the stall",
        [] {
          // Guards against a dead endpoint that is detected two seconds late.
          // After a stall, sockets may be read and requests sent to endpoints
          // before the queue is polled.
          Fixture fixture;
          fixture.now += 2s;
          fixture.timers.SetResponseTimer(
              fixture.now, 250ms, [&] { fixture.fired.emplace_back("asked"); });
          fixture.FireAfter(1ms);
          fixture.FireAfter(1ms);
          fixture.FireAfter(90ms);
          fixture.FireAfter(90ms);
          fixture.FireAfter(90ms);
          CPPUNIT_ASSERT(std::find(fixture.fired.begin(), fixture.fired.end(),
                                   "asked") != fixture.fired.end());
        }),
     It("reports that a time measured across a stall includes the stall",
        [] {
          // Guards against a stall that is learned as the endpoints' time: what
          // waited unread is read between the first poll after a stall and the
          // second.
          Fixture fixture;
          const Instant before = fixture.now;
          CPPUNIT_ASSERT(
              !fixture.timers.StalledBetween(before, before + 390ms));
          CPPUNIT_ASSERT(fixture.timers.StalledBetween(before, before + 2s));
          fixture.FireAfter(2s);
          CPPUNIT_ASSERT(fixture.timers.StalledBetween(before, fixture.now));
          fixture.FireAfter(1ms);
          CPPUNIT_ASSERT(fixture.timers.StalledBetween(before, fixture.now));
          CPPUNIT_ASSERT(
              !fixture.timers.StalledBetween(fixture.now, fixture.now + 50ms));
        }),
     It("does not fire a cancelled timer, even after a shift", [] {
       Fixture fixture;
       const TimerId response_timer = fixture.timers.SetResponseTimer(
           fixture.now, 300ms, [] { CPPUNIT_FAIL("rang"); });
       fixture.FireAfter(2s);
       fixture.timers.Cancel(response_timer);
       for (int poll = 0; poll < 10; ++poll) {
         fixture.FireAfter(90ms);
       }
       CPPUNIT_ASSERT(fixture.timers.next() == kNever);
     })});

}  // namespace
}  // namespace acacialug::gateway
