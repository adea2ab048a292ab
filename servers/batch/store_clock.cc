#include "servers/batch/store_clock.h"

#include "core/logging.h"

namespace quetzalshelf::batch {

namespace {

// Two steady clocks of the platform differ by up to 2% in their rate.
constexpr int kRateErrorDivisor = 50;

// Both clocks show whole milliseconds.
constexpr Duration kTick{1};

Duration Uncertainty(TimePoint from, TimePoint to) {
  const Duration passed = from < to ? to - from : from - to;
  return passed == Duration(0) ? passed
                               : passed / kRateErrorDivisor + 2 * kTick;
}

Duration OffsetOf(StoreTime shown, TimePoint time) {
  return shown.time_since_epoch() - time.time_since_epoch();
}

}  // namespace

void StoreClock::Observe(StoreTime shown, TimePoint sent, TimePoint received) {
  const Duration least = OffsetOf(shown, received);
  const Duration most = OffsetOf(shown, sent);
  const bool jumped =
      known_ && (least > MostOffset(received) || most < LeastOffset(received));
  if (jumped) {
    LOG(WARNING) << "the store's clock has jumped: offset_ms="
                 << LeastOffset(received).count() << ".."
                 << MostOffset(received).count() << " now=" << least.count()
                 << ".." << most.count();
  }
  if (!known_ || jumped || least >= LeastOffset(received))
    least_ = {least, received};
  if (!known_ || jumped || most <= MostOffset(received))
    most_ = {most, sent};
  known_ = true;
}

std::optional<StoreTime> StoreClock::Earliest(TimePoint time) const {
  if (!known_)
    return std::nullopt;
  return StoreTime(time.time_since_epoch() + LeastOffset(time));
}

std::optional<StoreTime> StoreClock::Latest(TimePoint time) const {
  if (!known_)
    return std::nullopt;
  return StoreTime(time.time_since_epoch() + MostOffset(time));
}

Duration StoreClock::LeastOffset(TimePoint time) const {
  return least_.offset - Uncertainty(least_.observed_at, time);
}

Duration StoreClock::MostOffset(TimePoint time) const {
  return most_.offset + Uncertainty(most_.observed_at, time);
}

}  // namespace quetzalshelf::batch
