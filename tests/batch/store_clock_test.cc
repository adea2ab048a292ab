// Bounds of the store's clock.

#include <doctest/doctest.h>

#include <rapidcheck.h>

#include "servers/batch/store_clock.h"

namespace quetzalshelf::batch {

namespace {

StoreTime Shown(int64_t millis) {
  return StoreTime(Duration(millis));
}

}  // namespace

TEST_CASE("The store's clock is not known before an answer") {
  const StoreClock clock;
  CHECK_FALSE(clock.Earliest(FromMillis(5)));
  CHECK_FALSE(clock.Latest(FromMillis(5)));
}

TEST_CASE("An answer bounds the store's clock by its way") {
  StoreClock clock;
  clock.Observe(Shown(9'000), FromMillis(100), FromMillis(140));
  CHECK(clock.Earliest(FromMillis(140)) == Shown(9'000));
  CHECK(clock.Latest(FromMillis(140)) == Shown(9'042));
  // A quicker one is exact.
  clock.Observe(Shown(9'020), FromMillis(150), FromMillis(150));
  CHECK(clock.Earliest(FromMillis(150)) == Shown(9'020));
  CHECK(clock.Latest(FromMillis(150)) == Shown(9'020));
}

// Guards against ages that are told by the clock before a jump.
TEST_CASE("A jump of the store's clock replaces what was known") {
  StoreClock clock;
  clock.Observe(Shown(9'000), FromMillis(100), FromMillis(104));
  int64_t shown = 0;
  SUBCASE("forth") {
    shown = 70'000;
  }
  SUBCASE("back") {
    shown = 3;
  }
  clock.Observe(Shown(shown), FromMillis(200), FromMillis(204));
  CHECK(clock.Earliest(FromMillis(204)) == Shown(shown));
  CHECK(clock.Latest(FromMillis(204)) == Shown(shown + 4 + 2));
}

// Guards against bounds that leave out the true time when answers take long,
// overtake each other or come from a clock of another rate.
TEST_CASE("The store's clock is always within its bounds") {
  CHECK(rc::check([] {
    const int64_t origin = *rc::gen::inRange<int64_t>(-50'000, 50'000);
    // Of the store, in thousandths.
    const int64_t rate = *rc::gen::inRange<int64_t>(981, 1'020);
    const auto shown_at = [&](int64_t millis) {
      return Shown(origin + millis * rate / 1'000);
    };
    StoreClock clock;
    int64_t received = 10'000;
    const int answers = *rc::gen::inRange(1, 60);
    for (int n = 0; n < answers; ++n) {
      received += *rc::gen::inRange<int64_t>(0, 1'500);
      const int64_t way = *rc::gen::inRange<int64_t>(0, 3'000);
      const int64_t shown =
          received - *rc::gen::oneOf(rc::gen::inRange<int64_t>(0, way + 1),
                                     rc::gen::element<int64_t>(0, way));
      clock.Observe(shown_at(shown), FromMillis(received - way),
                    FromMillis(received));
      const int64_t asked =
          received + *rc::gen::inRange<int64_t>(-2'000, 2'000);
      RC_ASSERT(*clock.Earliest(FromMillis(asked)) <= shown_at(asked));
      RC_ASSERT(*clock.Latest(FromMillis(asked)) >= shown_at(asked));
    }
  }));
}

}  // namespace quetzalshelf::batch
