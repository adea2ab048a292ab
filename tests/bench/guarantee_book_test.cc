#include <doctest/doctest.h>

#include "bench/guarantee_book.h"
#include "bench/seed_range.h"

namespace quetzalshelf::bench {
namespace {

using scheduling::Adjacency;
using scheduling::Shape;
using scheduling::Worker;

Resources Make(int64_t accelerators) {
  return {Accelerators(accelerators), MilliCores(0), Mebibytes(0)};
}

// Guards against charged gangs on different workers that are packed into one
// slice, which reported free space where no home can have any.
TEST_CASE("Gangs on two workers leave no whole slice free") {
  scheduling::Workspace workspace;
  workspace.guarantees = {{{2, Make(8), Adjacency::kRack}, 1}};
  const Worker a{WorkerId("a"), DomainId("north"), RackId("1"), Make(8)};
  const Worker b{WorkerId("b"), DomainId("north"), RackId("1"), Make(8)};
  const Shape half{1, Make(4), Adjacency::kWorker};
  const Shape whole{1, Make(8), Adjacency::kWorker};
  GuaranteeBook book(workspace);
  REQUIRE(book.Charge(JobId("first"), half, {&a}));
  CHECK(book.Covers(whole));
  REQUIRE(book.Charge(JobId("second"), half, {&b}));
  CHECK_FALSE(book.Covers(whole));
  CHECK(book.Covers({2, Make(4), Adjacency::kRack}));
  book.Release(JobId("first"));
  CHECK(book.Covers(whole));
}

// Guards against a block that many small gangs take from a large one, which was
// seen as 12 guarantee violations in `--deployment solano --seed 1`.
TEST_CASE("Small gangs do not hide the shape that a large gang uses") {
  scheduling::Workspace workspace;
  workspace.guarantees = {{{3, Make(8), Adjacency::kRack}, 2},
                          {{1, Make(8), Adjacency::kWorker}, 2}};
  const Worker a{WorkerId("a"), DomainId("north"), RackId("1"), Make(8)};
  const Worker b{WorkerId("b"), DomainId("north"), RackId("1"), Make(8)};
  const Worker c{WorkerId("c"), DomainId("north"), RackId("2"), Make(8)};
  const Worker d{WorkerId("d"), DomainId("north"), RackId("2"), Make(8)};
  const Worker e{WorkerId("e"), DomainId("north"), RackId("3"), Make(8)};
  const Shape large{2, Make(8), Adjacency::kRack};
  const Shape small{1, Make(1), Adjacency::kWorker};
  GuaranteeBook book(workspace);
  REQUIRE(book.Charge(JobId("large-1"), large, {&a, &b}));
  REQUIRE(book.Charge(JobId("large-2"), large, {&c, &d}));
  for (const char* id : {"small-1", "small-2", "small-3"}) {
    REQUIRE(book.Charge(JobId(id), small, {&e}));
    CHECK_FALSE(book.Covers(large));
  }
  book.Release(JobId("large-2"));
  CHECK(book.Covers(large));
}

// Guards against claims beyond what is guaranteed in sum.
TEST_CASE("Charges end at the sum of the guarantees") {
  scheduling::Workspace workspace;
  workspace.guarantees = {{{1, Make(8), Adjacency::kWorker}, 1}};
  const Worker a{WorkerId("a"), DomainId("north"), RackId("1"), Make(8)};
  GuaranteeBook book(workspace);
  CHECK(book.Charge(JobId("first"), {1, Make(5), Adjacency::kWorker}, {&a}));
  CHECK_FALSE(
      book.Charge(JobId("second"), {1, Make(4), Adjacency::kWorker}, {&a}));
}

// Guards against a mistyped range that silently runs one seed.
TEST_CASE("Seed ranges are parsed strictly") {
  SeedRange range;
  CHECK(ParseSeedRange("3..12", range));
  CHECK(range.first == 3);
  CHECK(range.last == 12);
  for (const char* text : {"", "3", "3..", "..3", "5..3", "3...4", "a..b"}) {
    CAPTURE(text);
    CHECK_FALSE(ParseSeedRange(text, range));
  }
  CHECK(range.first == 3);
}

}  // namespace
}  // namespace quetzalshelf::bench
