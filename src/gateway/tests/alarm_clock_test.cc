#include "gateway/internal/alarm_clock.h"

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
    this->alarms.Ring(this->now);
    this->alarms.Set(this->now + 300ms,
                     [this] { this->rung.emplace_back("instant"); });
    this->alarms.SetSilence(this->now, 300ms,
                            [this] { this->rung.emplace_back("silence"); });
  }

  Duration RingAfter(Duration time) {
    this->now += time;
    return this->alarms.Ring(this->now);
  }

  Instant now{1h};
  std::vector<std::string> rung;
  AlarmClock alarms{{}};
};

const acacialug::testing::Story kAlarms(
    "the alarm clock",
    {It("rings all that is due when it is looked at in time",
        [] {
          Clock clock;
          CPPUNIT_ASSERT(clock.RingAfter(310ms) == Duration::zero());
          CPPUNIT_ASSERT_EQUAL(std::size_t{2}, clock.rung.size());
          CPPUNIT_ASSERT(clock.alarms.next() == kNever);
        }),
     It("rings nothing at first after a standstill, and then what is due",
        [] {
          // Answers that lay unread were thrown away: alarms that were due
          // during a standstill rang before the sockets were read.
          Clock clock;
          CPPUNIT_ASSERT(clock.RingAfter(2s) == Duration(2s));
          CPPUNIT_ASSERT(clock.rung.empty());
          CPPUNIT_ASSERT(clock.RingAfter(1ms) == Duration::zero());
          CPPUNIT_ASSERT(clock.rung == std::vector<std::string>{"instant"});
        }),
     It("takes a standstill for nobody's silence, and goes on with the rest",
        [] {
          Clock clock;
          clock.RingAfter(2s);
          clock.RingAfter(1ms);
          clock.RingAfter(90ms);
          clock.RingAfter(90ms);
          CPPUNIT_ASSERT_EQUAL(std::size_t{1}, clock.rung.size());
          clock.RingAfter(30ms);
          CPPUNIT_ASSERT(clock.rung ==
                         (std::vector<std::string>{"instant", "silence"}));
        }),
     It("counts the time that reading took after a standstill as one more",
        [] {
          Clock clock;
          clock.RingAfter(2s);
          CPPUNIT_ASSERT(clock.RingAfter(400ms) == Duration::zero());
          CPPUNIT_ASSERT(clock.rung == std::vector<std::string>{"instant"});
        }),
     It("rings what is due though it is looked at late each time",
        [] {
          Clock clock;
          // Else a busy process would hold on to dead endpoints for ever.
          clock.RingAfter(450ms);
          clock.RingAfter(450ms);
          CPPUNIT_ASSERT(clock.rung == std::vector<std::string>{"instant"});
          clock.RingAfter(450ms);
          clock.RingAfter(450ms);
          CPPUNIT_ASSERT(clock.rung ==
                         (std::vector<std::string>{"instant", "silence"}));
        }),
     It("does not move a silence that began behind the standstill",
        [] {
          // After a standstill sockets may be read, and endpoints asked, before
          // the clock is looked at: one that is dead was found out two seconds
          // late.
          Clock clock;
          clock.now += 2s;
          clock.alarms.SetSilence(clock.now, 250ms,
                                  [&] { clock.rung.emplace_back("asked"); });
          clock.RingAfter(1ms);
          clock.RingAfter(1ms);
          clock.RingAfter(90ms);
          clock.RingAfter(90ms);
          clock.RingAfter(90ms);
          CPPUNIT_ASSERT(std::find(clock.rung.begin(), clock.rung.end(),
                                   "asked") != clock.rung.end());
        }),
     It("tells that a time measured across a standstill is its own",
        [] {
          // What lay unread is read between the first look after a standstill
          // and the second, and was learned as the endpoints' time.
          Clock clock;
          const Instant before = clock.now;
          CPPUNIT_ASSERT(!clock.alarms.StoodStill(before, before + 390ms));
          CPPUNIT_ASSERT(clock.alarms.StoodStill(before, before + 2s));
          clock.RingAfter(2s);
          CPPUNIT_ASSERT(clock.alarms.StoodStill(before, clock.now));
          clock.RingAfter(1ms);
          CPPUNIT_ASSERT(clock.alarms.StoodStill(before, clock.now));
          CPPUNIT_ASSERT(!clock.alarms.StoodStill(clock.now, clock.now + 50ms));
        }),
     It("forgets what is cancelled, also when it was moved", [] {
       Clock clock;
       const AlarmId silence = clock.alarms.SetSilence(
           clock.now, 300ms, [] { CPPUNIT_FAIL("rang"); });
       clock.RingAfter(2s);
       clock.alarms.Cancel(silence);
       for (int look = 0; look < 10; ++look) {
         clock.RingAfter(90ms);
       }
       CPPUNIT_ASSERT(clock.alarms.next() == kNever);
     })});

}  // namespace
}  // namespace acacialug::gateway
