#include "gateway/internal/timer_queue.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

#include "framework/testing/story.h"

namespace acacialug::gateway {
namespace {

using acacialug::testing::It;

// A clock that is looked at each 50 ms at the latest, and what it rang.
struct Clock {
  Clock() {
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

const acacialug::testing::Story kAlarms(
    "the alarm clock",
    {It("rings all that is due when it is looked at in time",
        [] {
          Clock clock;
          CPPUNIT_ASSERT(clock.FireAfter(310ms) == Duration::zero());
          CPPUNIT_ASSERT_EQUAL(std::size_t{2}, clock.fired.size());
          CPPUNIT_ASSERT(clock.timers.next() == kNever);
        }),
     It("rings nothing at first after a standstill, and then what is due",
        [] {
          // Answers that lay unread were thrown away: alarms that were due
          // during a standstill rang before the sockets were read.
          Clock clock;
          CPPUNIT_ASSERT(clock.FireAfter(2s) == Duration(2s));
          CPPUNIT_ASSERT(clock.fired.empty());
          CPPUNIT_ASSERT(clock.FireAfter(1ms) == Duration::zero());
          CPPUNIT_ASSERT(clock.fired == std::vector<std::string>{"instant"});
        }),
     It("takes a standstill for nobody's silence, and goes on with the rest",
        [] {
          Clock clock;
          clock.FireAfter(2s);
          clock.FireAfter(1ms);
          clock.FireAfter(90ms);
          clock.FireAfter(90ms);
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, clock.fired.size());
          clock.FireAfter(30ms);
          CPPUNIT_ASSERT(clock.fired ==
                         (std::vector<std::string>{"instant", "silence"}));
        }),
     It("counts the time that reading took after a standstill as one more",
        [] {
          Clock clock;
          clock.FireAfter(2s);
          CPPUNIT_ASSERT(clock.FireAfter(400ms) == Duration::zero());
          CPPUNIT_ASSERT(clock.fired == std::vector<std::string>{"instant"});
        }),
     It("rings what is due though it is looked at late each time",
        [] {
          Clock clock;
          // Else a busy process would hold on to dead endpoints for ever.
          clock.FireAfter(450ms);
          clock.FireAfter(450ms);
          CPPUNIT_ASSERT(clock.fired == std::vector<std::string>{"instant"});
          clock.FireAfter(450ms);
          clock.FireAfter(450ms);
          CPPUNIT_ASSERT(clock.fired ==
                         (std::vector<std::string>{"instant", "silence"}));
        }),
     It("does not move a silence that began behind the standstill",
        [] {
          // After a standstill sockets may be read, and endpoints asked, before
          // the clock is looked at: one that is dead was found out two seconds
          // late.
          Clock clock;
          clock.now += 2s;
          clock.timers.SetResponseTimer(
              clock.now, 250ms, [&] { clock.fired.emplace_back("asked"); });
          clock.FireAfter(1ms);
          clock.FireAfter(1ms);
          clock.FireAfter(90ms);
          clock.FireAfter(90ms);
          clock.FireAfter(90ms);
          CPPUNIT_ASSERT(std::find(clock.fired.begin(), clock.fired.end(),
                                   "asked") != clock.fired.end());
        }),
     It("tells that a time measured across a standstill is its own",
        [] {
          // What lay unread is read between the first look after a standstill
          // and the second, and was learned as the endpoints' time.
          Clock clock;
          const Instant before = clock.now;
          CPPUNIT_ASSERT(!clock.timers.StalledBetween(before, before + 390ms));
          CPPUNIT_ASSERT(clock.timers.StalledBetween(before, before + 2s));
          clock.FireAfter(2s);
          CPPUNIT_ASSERT(clock.timers.StalledBetween(before, clock.now));
          clock.FireAfter(1ms);
          CPPUNIT_ASSERT(clock.timers.StalledBetween(before, clock.now));
          CPPUNIT_ASSERT(
              !clock.timers.StalledBetween(clock.now, clock.now + 50ms));
        }),
     It("forgets what is cancelled, also when it was moved", [] {
       Clock clock;
       const TimerId silence = clock.timers.SetResponseTimer(
           clock.now, 300ms, [] { CPPUNIT_FAIL("rang"); });
       clock.FireAfter(2s);
       clock.timers.Cancel(silence);
       for (int look = 0; look < 10; ++look) {
         clock.FireAfter(90ms);
       }
       CPPUNIT_ASSERT(clock.timers.next() == kNever);
     })});

}  // namespace
}  // namespace acacialug::gateway
